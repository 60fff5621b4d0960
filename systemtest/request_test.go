package systemtest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// sendRequest sends one request to entry-a and returns the HTTP status and, unless it is 200, the refusal.
func (c *cluster) sendRequest(method, path string, header map[string]string, body []byte) (int, fault.Refusal) {
	c.t.Helper()
	request, err := http.NewRequest(method, "http://"+c.nodes["entry-a"].host.DataAddress+path, bytes.NewReader(body))
	c.must(err)
	request.Header.Set("Lovage-Workspace", "space")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	c.must(err)
	defer answer.Body.Close()
	var refusal fault.Refusal
	if answer.StatusCode != http.StatusOK {
		c.must(json.NewDecoder(answer.Body).Decode(&refusal))
	}
	return answer.StatusCode, refusal
}

func TestInvalidInputIsRefusedAndNotDispatched(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	before := len(c.bookingCounts())
	const booking = "/services/bookings/bookings"
	id := []byte(`{"id":"bad-input"}`)
	for name, bad := range map[string]struct {
		method, path string
		header       map[string]string
		body         []byte
		status       int
		kind         string
		outcome      fault.Outcome // NotRun if empty
	}{
		"oversized body":     {"POST", booking, nil, make([]byte, 2<<20), 413, "too_large", ""},
		"oversized headers":  {"POST", booking, map[string]string{"X-Long": strings.Repeat("x", 64<<10)}, id, 413, "too_large", fault.Unknown}, // the header, which may hold a key, is not read
		"malformed priority": {"POST", booking, map[string]string{"Lovage-Priority": "urgent"}, id, 400, "bad_request", ""},
		"repeat, bad body":   {"POST", booking, map[string]string{"Idempotency-Key": "used"}, make([]byte, 2<<20), 413, "too_large", fault.Unknown},
		"repeat, priority":   {"POST", booking, map[string]string{"Idempotency-Key": "used", "Lovage-Priority": "urgent"}, id, 400, "bad_request", fault.Unknown},
		"repeat, workspace":  {"POST", booking, map[string]string{"Idempotency-Key": "used", "Lovage-Workspace": "none"}, id, 403, "unknown_workspace", fault.Unknown},
		"malformed deadline": {"POST", booking, map[string]string{"Lovage-Deadline-Ms": "1e3"}, id, 400, "bad_request", ""},
		"malformed key":      {"POST", booking, map[string]string{"Idempotency-Key": "a b"}, id, 400, "bad_request", ""},
		"encoded body":       {"POST", booking, map[string]string{"Content-Encoding": "gzip"}, id, 400, "bad_request", ""},
		"unknown service":    {"POST", "/services/none/bookings", nil, id, 404, "unknown_service", ""},
		"unknown workspace":  {"POST", booking, map[string]string{"Lovage-Workspace": "none"}, id, 403, "unknown_workspace", ""},
		"path with dots":     {"POST", "/services/bookings/profile/%2e%2e/bookings", nil, id, 400, "bad_request", ""},
		"no service":         {"POST", "/bookings", nil, id, 400, "bad_request", ""},
		"bad chat":           {"POST", "/v1/chat/completions", nil, []byte(`{"model":"models"`), 400, "bad_request", ""},
		"chat unknown model": {"POST", "/v1/chat/completions", nil, []byte(`{"model":"none","messages":[{}]}`), 404, "unknown_service", ""},
	} {
		status, refusal := c.sendRequest(bad.method, bad.path, bad.header, bad.body)
		if status != bad.status || refusal.Kind != bad.kind || refusal.Outcome != cmp.Or(bad.outcome, fault.NotRun) || refusal.Remedy == "" {
			t.Errorf("%s: status %d, %+v", name, status, refusal)
		}
	}
	if after := len(c.bookingCounts()); after != before {
		t.Errorf("invalid requests made %d bookings", after-before)
	}
	if status, refusal := c.sendRequest("POST", booking, nil, id); status != http.StatusOK {
		t.Errorf("valid booking after invalid requests: status %d, %+v", status, refusal)
	}
}
