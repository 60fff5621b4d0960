package entry

import (
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

var parsedAt = time.Unix(1_000_000, 0)

func requestSnapshot(t testing.TB) *config.Snapshot {
	t.Helper()
	raw, digest, err := config.Encode(config.Set{
		Workspaces: []config.Workspace{{Name: "space"}, {Name: "narrow", Services: []core.Service{"models"}}},
		Services: []config.Service{
			{Name: "models", Kind: config.KindModel},
			{Name: "bookings", Kind: config.KindPlain, Calls: []config.Call{{Method: "GET", Path: "/profile", Idempotent: true}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Decode(1, digest, raw)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// booking returns a valid request to a plain service.
func booking() rawRequest {
	return rawRequest{method: "POST", path: "/services/bookings/bookings", workspace: "space", body: []byte(`{"id":"1"}`)}
}

// completion returns a valid chat completion.
func completion() rawRequest {
	return rawRequest{method: "POST", path: pathChat, workspace: "space", body: []byte(`{"model":"models","messages":[{"role":"user","content":"hi"}]}`)}
}

func TestParseAcceptsValidRequests(t *testing.T) {
	snapshot := requestSnapshot(t)
	in := booking()
	in.key, in.priority, in.deadline, in.query = "k-1", "9", "1500", "a=b"
	r, err := parseRawRequest(in, snapshot, parsedAt)
	if err != nil {
		t.Fatal(err)
	}
	if r.service.Name != "bookings" || r.path != "/bookings?a=b" || r.key != "k-1" || r.priority != 9 || r.idempotent || r.prefixHash != 0 {
		t.Errorf("parsed as %+v", r)
	}
	if !r.deadline.Equal(parsedAt.Add(1500 * time.Millisecond)) {
		t.Errorf("the deadline is %v", r.deadline)
	}
	r, err = parseRawRequest(completion(), snapshot, parsedAt)
	if err != nil || r.service.Name != "models" || r.path != pathChat || !r.idempotent || r.prefixHash == 0 {
		t.Errorf("parsed as %+v, %v", r, err)
	}
}

func TestParseRejectsInvalidRequestsWithTypedErrors(t *testing.T) {
	snapshot := requestSnapshot(t)
	for name, refused := range map[string]struct {
		kind   string
		base   rawRequest
		change func(*rawRequest)
	}{
		"another path":         {"bad_request", booking(), func(in *rawRequest) { in.path = "/other" }},
		"unknown service":      {"unknown_service", booking(), func(in *rawRequest) { in.path = "/services/none/x" }},
		"no service":           {"unknown_service", booking(), func(in *rawRequest) { in.path = "/services/" }},
		"unknown method":       {"bad_request", booking(), func(in *rawRequest) { in.method = "BREW" }},
		"dot segments":         {"bad_request", booking(), func(in *rawRequest) { in.path = "/services/bookings/profile/../bookings" }},
		"encoded dots":         {"bad_request", booking(), func(in *rawRequest) { in.path = "/services/bookings/profile/%2E%2e/bookings" }},
		"encoded slash":        {"bad_request", booking(), func(in *rawRequest) { in.path = "/services/bookings/profile%2fx" }},
		"empty segment":        {"bad_request", booking(), func(in *rawRequest) { in.path = "/services/bookings//x" }},
		"control byte":         {"bad_request", booking(), func(in *rawRequest) { in.path = "/services/bookings/a\r\nb" }},
		"no workspace":         {"unknown_workspace", booking(), func(in *rawRequest) { in.workspace = "" }},
		"unknown workspace":    {"unknown_workspace", booking(), func(in *rawRequest) { in.workspace = "other" }},
		"service not allowed":  {"unknown_workspace", booking(), func(in *rawRequest) { in.workspace = "narrow" }},
		"long key":             {"bad_request", booking(), func(in *rawRequest) { in.key = strings.Repeat("k", maxKeyBytes+1) }},
		"key with a space":     {"bad_request", booking(), func(in *rawRequest) { in.key = "a b" }},
		"key not ASCII":        {"bad_request", booking(), func(in *rawRequest) { in.key = "cheie-ă" }},
		"priority too high":    {"bad_request", booking(), func(in *rawRequest) { in.priority = "10" }},
		"signed priority":      {"bad_request", booking(), func(in *rawRequest) { in.priority = "+1" }},
		"priority not numeric": {"bad_request", booking(), func(in *rawRequest) { in.priority = "high" }},
		"zero deadline":        {"bad_request", booking(), func(in *rawRequest) { in.deadline = "0" }},
		"deadline too long":    {"bad_request", booking(), func(in *rawRequest) { in.deadline = "600001" }},
		"deadline overflows":   {"bad_request", booking(), func(in *rawRequest) { in.deadline = "99999999999999999999" }},
		"encoded body":         {"bad_request", booking(), func(in *rawRequest) { in.contentEncoding = "gzip" }},
		"chat with GET":        {"bad_request", completion(), func(in *rawRequest) { in.method = "GET" }},
		"chat not JSON":        {"bad_request", completion(), func(in *rawRequest) { in.body = []byte(`{"model":`) }},
		"chat empty":           {"bad_request", completion(), func(in *rawRequest) { in.body = nil }},
		"chat no model":        {"bad_request", completion(), func(in *rawRequest) { in.body = []byte(`{"messages":[{}]}`) }},
		"chat no messages":     {"bad_request", completion(), func(in *rawRequest) { in.body = []byte(`{"model":"models"}`) }},
		"chat other model":     {"unknown_service", completion(), func(in *rawRequest) { in.body = []byte(`{"model":"none","messages":[{}]}`) }},
	} {
		in := refused.base
		refused.change(&in)
		_, err := parseRawRequest(in, snapshot, parsedAt)
		if err == nil || fault.Kind(err) != refused.kind || fault.Remedy(err) == "" {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

func TestPromptPrefixIsStableAcrossTurns(t *testing.T) {
	snapshot := requestSnapshot(t)
	prefix := func(messages string) uint64 {
		in := completion()
		in.body = []byte(`{"model":"models","messages":[` + messages + `]}`)
		r, err := parseRawRequest(in, snapshot, parsedAt)
		if err != nil {
			t.Fatal(err)
		}
		return r.prefixHash
	}
	const first = `{"role":"system","content":"s"},{"role":"user","content":"u"}`
	if prefix(first) != prefix(first+`,{"role":"assistant","content":"a"},{"role":"user","content":"v"}`) {
		t.Error("the second turn of a conversation has another prefix hash")
	}
	if prefix(first) == prefix(`{"role":"system","content":"s"},{"role":"user","content":"other"}`) {
		t.Error("two conversations have the same prefix hash")
	}
}

// FuzzParseRequest checks that a request is either rejected with a typed error that has a remedy, or parsed into
// values within their limits, and that a call counts as idempotent only if the configuration says so.
func FuzzParseRequest(f *testing.F) {
	for _, in := range []rawRequest{booking(), completion()} {
		f.Add(in.method, in.path, in.query, in.workspace, in.key, in.priority, in.deadline, in.body)
	}
	snapshot := requestSnapshot(f)
	f.Fuzz(func(t *testing.T, method, path, query, workspace, key, priority, deadline string, body []byte) {
		in := rawRequest{method: method, path: path, query: query, workspace: workspace, key: key, priority: priority, deadline: deadline, body: body}
		r, err := parseRawRequest(in, snapshot, parsedAt)
		if err != nil {
			if kind := fault.Kind(err); kind == "internal" || fault.Remedy(err) == "" {
				t.Fatalf("rejected as %s: %v", kind, err)
			}
			return
		}
		budget := r.deadline.Sub(parsedAt)
		if r.priority < 0 || r.priority > maxPriority || budget <= 0 || budget > maxTimeout || len(r.key) > maxKeyBytes {
			t.Fatalf("values out of range: %+v", r)
		}
		if r.idempotent && r.service.Name == "bookings" && (method != "GET" || !strings.HasPrefix(r.path, "/profile")) {
			t.Fatalf("%s %s counts as idempotent", method, r.path)
		}
	})
}

// FuzzParsePath checks that an accepted path is unambiguous: it is clean, and decoding it changes no separators.
func FuzzParsePath(f *testing.F) {
	for _, path := range []string{"/", "/profile", "/profile/../x", "/a%2e/b", "/a//b", "/a;b"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, tail string) {
		fullPath := "/" + strings.TrimPrefix(tail, "/")
		if checkPath(fullPath) != nil {
			return
		}
		if !isUnambiguous(fullPath) {
			t.Fatalf("%q was accepted", fullPath)
		}
	})
}

// isUnambiguous reports whether decoding and cleaning by the standard library leave the path's segments unchanged.
func isUnambiguous(text string) bool {
	decoded, err := url.PathUnescape(text)
	if err != nil {
		return true // an endpoint rejects it or does not decode it
	}
	cleaned := path.Clean(decoded)
	return cleaned == strings.TrimSuffix(decoded, "/") || decoded == "/"
}
