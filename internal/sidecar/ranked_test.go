package sidecar

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// ask sends a request with the headers to the relay, and returns the header of the answer.
func ask(t *testing.T, relay string, header map[string]string) http.Header {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+relay+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return nil
	}
	_ = answer.Body.Close()
	return answer.Header
}

func TestOnlyRankedRequestsWaitForASlot(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderRank)+r.Header.Get(wire.HeaderAim) != "" {
			t.Errorf("the engine got the headers between gateway and sidecar: %v", r.Header)
		}
		<-release
	})
	s := newSidecar(t, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1, version: 1}, &fakeOrigin{}, &fakeSource{step: 100 * time.Millisecond}, address)
	waitFor(t, "the gate to open", func() bool { return s.servingVersion.Load() == 1 && s.gate.Load().Limit == 2 })
	relay := serve(t, s.serveRelay)
	answers := make(chan http.Header, 3)
	for range 2 {
		go func() { answers <- ask(t, relay, nil) }()
	}
	waitFor(t, "both slots to be in use", func() bool { return s.gate.Load().Running == 2 })
	if got := ask(t, relay, nil); got.Get(wire.HeaderRefused) != refusedNoCapacity {
		t.Errorf("a request without a rank: %v, want a refusal", got)
	}
	got := ask(t, relay, map[string]string{wire.HeaderRank: "1", wire.HeaderAim: "1,400"})
	if forecast, err := strconv.Atoi(got.Get(wire.HeaderForecast)); got.Get(wire.HeaderRefused) != refusedNoCapacity || err != nil || forecast <= 0 {
		t.Errorf("a ranked request whose aim cannot be met: %v, want a refusal with a forecast", got)
	}
	const minute = "60000,400"
	go func() { answers <- ask(t, relay, map[string]string{wire.HeaderRank: "1", wire.HeaderAim: minute}) }()
	waitFor(t, "the ranked request to wait", func() bool { return s.gate.Load().Queued == 1 })
	close(release)
	for range 3 {
		if got := <-answers; got.Get(wire.HeaderRefused) != "" {
			t.Errorf("refused: %v", got)
		}
	}
}
