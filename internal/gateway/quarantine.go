package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/quarantine"
)

// quarantineRetryAfter is what callers of requests with a quarantined part are told at least. A retry with the same prompt is of no
// use before the next trial of the part.
const quarantineRetryAfter = 30 * time.Second

// ArchiveCrashes has the gateway, if it is a delegate, keep crashes that accuse a request or a part of prompts in a table of the
// platform. While no delegate answers, the granter does. It must be called before Run.
func (g *Gateway) ArchiveCrashes(tables platform.Tables) {
	g.archive = quarantine.NewArchive(g.quarantine, tables, g.archiveRank, g.logger)
}

// archiveRank returns the gateway's rank among those that archive crashes. Others learn from them what is archived.
func (g *Gateway) archiveRank() int {
	delegates := slices.Sorted(slices.Values(g.settings.Delegates)) // in the same order at all gateways
	if rank := slices.Index(delegates, g.settings.ControlAddress); rank >= 0 {
		return rank
	}
	if len(delegates) == 0 || g.spreader.IsCutOff() && g.rates.group.isGranter("") {
		return 0
	}
	return quarantine.NoRank
}

// shareCrashes exchanges what is known of crashes with the delegates and the archive until the context ends.
func (g *Gateway) shareCrashes(ctx context.Context) {
	var tasks conc.WaitGroup
	if g.archive != nil {
		tasks.Go(func() { g.archive.Run(ctx) })
	}
	tasks.Go(func() { g.spreader.Run(ctx) })
	tasks.Wait()
}

// isQuarantined reports whether the call must not be sent to an endpoint because a part of its prompt, or the request itself, is
// quarantined. A call that may pass as a trial is marked as such.
func (f *forwarder) isQuarantined() bool {
	if f.trialOf != "" {
		return false
	}
	blocked := f.g.quarantine.Blocked(f.parts)
	if len(blocked) == 0 {
		return false
	}
	if len(blocked) == 1 && f.possibleRuns() == 0 && f.g.keepsTrialsOf(blocked[0]) && f.g.quarantine.TakeTrial(blocked[0]) {
		f.trialOf = blocked[0]
		f.g.logger.Info().Str("request", string(f.call.ID)).Str("part", string(f.trialOf)).Msg("trial of a quarantined prompt part")
		return false
	}
	f.quarantined = true
	return true
}

// returnUnusedTrial lets another request be the trial if this one reached no endpoint.
func (f *forwarder) returnUnusedTrial() {
	if f.trialOf != "" && f.sendCount() == 0 {
		f.g.quarantine.ReturnTrial(f.trialOf)
	}
}

// keepsTrialsOf reports whether this gateway lets trials of the part pass: the granter does, so that there are few of them however many
// gateways there are.
func (g *Gateway) keepsTrialsOf(part core.PromptPart) bool {
	return g.rates.group.isGranter(string(part))
}

// recordBreak records that an endpoint gave no answer to the call or broke it off. Crashes behind a sidecar are seen by it.
func (f *forwarder) recordBreak(a *attempt) {
	throughSidecar := f.route.Generates && !a.bypasses.Load()
	if throughSidecar || a.ctx.Err() != nil {
		return
	}
	broken := quarantine.BrokenCall{Suspect: quarantine.Suspect{Request: f.call.ID, Parts: f.parts, Omits: quarantine.OmissionOf(f.call), Sent: time.Duration(a.sentAt.Load()), Broke: bootclock.Now()}}
	if !a.firstEvent.IsZero() {
		broken.WroteFor = time.Since(a.firstEvent)
	}
	f.g.crashes.of(a.endpoint).Record(broken)
}

// addIdentity adds to the log entry what tells a repeated request from another one: its hash and its caller's workspace.
func (f *forwarder) addIdentity(entry *log.Entry) *log.Entry {
	if f.workspace != nil {
		entry.Str("workspace", string(f.workspace.Name))
	}
	return entry.Str("identity", string(quarantine.IdentityOf(f.parts)))
}

// recordWholeAnswer records that the call did not crash its engine.
func (f *forwarder) recordWholeAnswer() { f.g.quarantine.RecordAnswer(f.parts) }

// maxCrashDetectors bounds the detectors for endpoints that may be gone.
const maxCrashDetectors = 1000

// crashDetectors holds a detector for each endpoint that broke off an answer to this gateway. It is safe for concurrent use.
type crashDetectors struct {
	ledger *quarantine.Ledger
	logger *log.Logger

	mu       sync.Mutex
	byEngine map[quarantine.Incarnation]*quarantine.Detector
}

func newCrashDetectors(ledger *quarantine.Ledger, logger *log.Logger) *crashDetectors {
	return &crashDetectors{ledger: ledger, logger: logger, byEngine: make(map[quarantine.Incarnation]*quarantine.Detector)}
}

func (c *crashDetectors) of(endpoint *catalog.Endpoint) *quarantine.Detector {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine := quarantine.IncarnationOf(endpoint)
	detector := c.byEngine[engine]
	if detector == nil {
		if len(c.byEngine) >= maxCrashDetectors {
			clear(c.byEngine) // checks under way end by themselves
		}
		address := endpoint.Address
		detector = quarantine.NewDetector(address, func(suspects []quarantine.Suspect, broken int) {
			quarantine.AddSuspects(c.logger.Warn().Str("address", address).Int("broken_off", broken), suspects).Msg("endpoint crashed")
			c.ledger.RecordCrash(engine, suspects)
		})
		c.byEngine[engine] = detector
	}
	return detector
}
