package plan

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/reduce"
)

// holderOf returns a planner that holds all chunks of a version and may upload one chunk at a time.
func holderOf(wanted Version) *Planner {
	limits := BurstLimits()
	limits.MaxUploads = 1
	p := New(Peer{Host: "h", Region: "east"}, limits, 1)
	wanted.Have = NewBitmap(len(wanted.Manifest.Chunks))
	for i := range wanted.Manifest.Chunks {
		wanted.Have.Set(i)
	}
	p.Step(VersionsChanged{Versions: []Version{wanted}})
	return p
}

// answers returns the decisions on uploads among the effects.
func answers(effects []reduce.Effect) map[UploadID]Result {
	decided := make(map[UploadID]Result)
	for _, effect := range effects {
		if answer, ok := effect.(AnswerUpload); ok {
			decided[answer.UploadID] = answer.Result
		}
	}
	return decided
}

// A whole region waits for a chunk that one of its hosts fetches from another region.
func TestUploadsForOtherRegionsComeFirst(t *testing.T) {
	wanted := testVersion("v", 4, 1<<10)
	p := holderOf(wanted)
	request := func(id UploadID, forRegion bool) map[UploadID]Result {
		return answers(p.Step(UploadRequested{UploadID: id, Digest: wanted.Manifest.Chunks[0], ForRegion: forRegion}))
	}
	if got := request(1, false); got[1] != Granted {
		t.Fatalf("the first upload: %v", got)
	}
	if got := request(2, false); len(got) != 0 {
		t.Errorf("the second upload was decided at once: %v", got)
	}
	if got := request(3, true); got[3] != Granted {
		t.Errorf("an upload for another region waits: %v", got)
	}
	p.Step(UploadEnded{UploadID: 1})
	if got := answers(p.Step(UploadEnded{UploadID: 3})); got[2] != Granted {
		t.Errorf("the waiting upload was not granted: %v", got)
	}
}

func TestWaitingUploadIsRefusedAtItsDeadline(t *testing.T) {
	wanted := testVersion("v", 4, 1<<10)
	p := holderOf(wanted)
	p.Step(UploadRequested{UploadID: 1, Digest: wanted.Manifest.Chunks[0]})
	p.Step(UploadRequested{UploadID: 2, Digest: wanted.Manifest.Chunks[0]})
	late := Timestamp{Now: BurstLimits().MaxUploadWait + time.Millisecond}
	if got := answers(p.Step(Tick{Timestamp: late})); got[2] != Busy {
		t.Errorf("the upload that waited too long: %v", got)
	}
}

// Only chunks that contradict the manifest make it suspect. While the origin is away, fetches fail as well.
func TestManifestIsSuspectOnlyIfChunksContradictIt(t *testing.T) {
	for _, test := range []struct {
		result  Result
		at      time.Duration
		suspect bool
	}{
		{Unreachable, time.Minute, false},
		{Missing, time.Minute, false},
		{Stalled, time.Minute, false},
		{Corrupt, time.Second, true},
		{NotWanted, time.Second, false}, // the peer may not know the version yet
		{NotWanted, time.Minute, true},
	} {
		p := New(Peer{Host: "h", Region: "east"}, BurstLimits(), 1)
		p.Step(VersionsChanged{Versions: []Version{testVersion("v", 4, 1<<10)}})
		p.Step(Tick{Timestamp: Timestamp{Now: time.Second}}) // starts a fetch from the origin
		if len(p.activeFetches) == 0 {
			t.Fatal("no fetch was started")
		}
		p.now = test.at
		p.Step(FetchEnded{Timestamp: Timestamp{Now: test.at}, FetchID: p.activeFetches[0].id, Result: test.result})
		if p.versions[0].manifestSuspect != test.suspect {
			t.Errorf("result %d after %v: suspect is %v", test.result, test.at, p.versions[0].manifestSuspect)
		}
	}
}
