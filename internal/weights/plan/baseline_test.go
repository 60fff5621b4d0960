package plan

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const (
	maxBaselineFetches = 4 // concurrent fetches
	treeFanOut         = 2
)

// baselineHost fetches the chunks in order from one fixed source. An empty parent means the origin.
type baselineHost struct {
	self        Peer
	parent      core.HostID
	version     Version
	have        Bitmap
	offered     Bitmap
	inFlight    map[FetchID]int
	lastFetchID FetchID
}

func baselineConfig(newPlanner func(Peer, Limits, uint64) simulatedPlanner) networkConfig {
	config := targetConfig(targetHosts, wideRegionFactor)
	config.newPlanner = newPlanner
	return config
}

// allOriginFetchersConfig returns a configuration in which every host fetches its share of the chunks from the origin.
func allOriginFetchersConfig(hosts int, regionRateFactor float64) networkConfig {
	config := targetConfig(hosts, regionRateFactor)
	config.limits = func(limits *Limits) { limits.OriginFetchersPerRegion = 0 }
	return config
}

func newOriginOnlyBaseline(self Peer, _ Limits, _ uint64) simulatedPlanner {
	return &baselineHost{self: self, inFlight: make(map[FetchID]int)}
}

// newTreeBaseline returns a baseline that fetches from a fixed parent. The hosts of a failure domain form a tree with
// treeFanOut children per host, whose root fetches from the origin.
func newTreeBaseline(self Peer, _ Limits, _ uint64) simulatedPlanner {
	number, _ := strconv.Atoi(strings.TrimPrefix(string(self.Host), "h"))
	parent := ""
	if number >= failureDomainCount {
		parentNumber := (number/failureDomainCount - 1) / treeFanOut
		parent = fmt.Sprintf("h%03d", parentNumber*failureDomainCount+number%failureDomainCount)
	}
	return &baselineHost{self: self, parent: core.HostID(parent), inFlight: make(map[FetchID]int)}
}

func (b *baselineHost) ChunkMap(core.VersionID) Bitmap { return b.have }

func (b *baselineHost) Step(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case VersionsChanged:
		b.version = event.Versions[0]
		b.have = NewBitmap(len(b.version.Manifest.Chunks))
		b.offered = NewBitmap(len(b.version.Manifest.Chunks))
	case ChunkMapReceived:
		if event.Host == b.parent {
			b.offered = event.Have.Clone()
		}
	case FetchEnded:
		if event.Result == Verified {
			b.have.Set(b.inFlight[event.FetchID])
		}
		delete(b.inFlight, event.FetchID)
	case UploadRequested:
		return []reduce.Effect{AnswerUpload{UploadID: event.UploadID, Result: Granted}}
	case Tick:
		if b.parent != "" && b.have != nil {
			return append(b.startFetches(), ExchangeChunkMap{Host: b.parent, Version: b.version.ID, Have: b.have.Clone()})
		}
	}
	return b.startFetches()
}

func (b *baselineHost) startFetches() []reduce.Effect {
	var effects []reduce.Effect
	for i := range b.version.Manifest.Chunks {
		if len(b.inFlight) >= maxBaselineFetches {
			break
		}
		if b.have.Has(i) || b.isInFlight(i) || (b.parent != "" && !b.offered.Has(i)) {
			continue
		}
		b.lastFetchID++
		b.inFlight[b.lastFetchID] = i
		effects = append(effects, FetchChunk{FetchID: b.lastFetchID, Source: b.parent, Version: b.version.ID, Index: i})
	}
	return effects
}

func (b *baselineHost) isInFlight(chunk int) bool {
	for _, other := range b.inFlight {
		if other == chunk {
			return true
		}
	}
	return false
}
