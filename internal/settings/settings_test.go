package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const validAgent = `{
  "host": {"id": "r1", "role": "agent", "failure_domain": "a", "region": "east",
    "data_address": "10.0.0.1:7001", "control_address": "10.0.0.1:7002"},
  "platform": {"tables_address": "10.1.0.1:1", "objects_address": "10.1.0.1:2", "hosts_address": "10.1.0.1:3", "origin_address": "10.1.0.1:4"},
  "seeds": ["10.0.0.2:7002"],
  "backend_address": "127.0.0.1:8000",
  "backend_kind": "engine"
}`

func loadError(t *testing.T, text string, load func(string) error) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	err := load(path)
	if err == nil {
		return ""
	}
	if !fault.Is(err, fault.BadSettings) || fault.Remedy(err) == "" {
		t.Errorf("error of another kind or without a remedy: %v", err)
	}
	return err.Error()
}

func loadAgent(path string) error { _, err := LoadAgent(path); return err }

func TestInvalidSettingsNameTheField(t *testing.T) {
	for _, test := range []struct{ old, replacement, want string }{
		{`"seeds"`, `"seed"`, "agent.json: line 5: seed: there is no such field"},
		{`"engine"` + "\n}", `"engine"` + "\n}{}", "agent.json: line 8: unexpected data after the end of the value"},
		{`"backend_kind"`, `"backend_address": "127.0.0.1:1", "backend_kind"`, "line 7: backend_address: the field appears twice in one object"},
		{`["10.0.0.2:7002"]`, `"10.0.0.2:7002"`, "line 5: seeds: found a JSON string, expected a list"},
		{`"10.0.0.1:7001"`, `"host-1:7001"`, `host.data_address: "host-1:7001" is not an IP address with a port; use one such as 10.0.0.1:7001, since host names are not resolved`},
		{`"10.0.0.1:7002"`, `"0.0.0.0:7002"`, `host.control_address: other hosts cannot connect to "0.0.0.0:7002"; use the IP address and port that they connect to, and listen_control_address to listen on another address`},
		{`"10.0.0.1:7001"`, `"10.0.0.1:0"`, `host.data_address: other hosts cannot connect to "10.0.0.1:0"`},
		{`"10.1.0.1:3"`, `"tables.internal:3"`, `platform.hosts_address: "tables.internal:3" is not an IP address`},
		{`"10.0.0.2:7002"`, `"peer"`, `seeds[0]: "peer" is not an IP address`},
		{`"id": "r1", `, ``, "host.id: it is missing; add it"},
		{`"origin_address": "10.1.0.1:4"`, `"origin_address": ""`, "platform.origin_address: it is missing; add it"},
		{`"agent"`, `"entry"`, `host.role: "entry" is not the role of lovage-agent; write "agent" or start lovage-entry`},
		{`"agent"`, `"router"`, `host.role: "router" is not allowed; use one of entry, agent`},
		{`"engine"`, `"gpu"`, `backend_kind: "gpu" is not allowed; use one of engine, plain`},
		{`"seeds"`, `"drain_s": -1, "seeds"`, "drain_s: -1 is too small; use 0 or more"},
		{`"seeds"`, `"drain_s": 9999, "seeds"`, "drain_s: 9999 is too large; use 3600 or less"},
		{`"seeds"`, `"log_level": "loud", "seeds"`, `log_level: "loud" is not allowed; use one of debug, info, warn, error`},
		{`"seeds"`, `"max_body_bytes": 5, "seeds"`, "max_body_bytes: there is no such field"},
		{validAgent, "", "agent.json: line 1: the document is empty"},
		{validAgent, strings.Repeat(" ", maxFileBytes+1), "agent.json is larger than 1 MiB; name the settings file of this daemon"},
	} {
		text := strings.Replace(validAgent, test.old, test.replacement, 1)
		if got := loadError(t, text, loadAgent); !strings.Contains(got, test.want) {
			t.Errorf("%s:\n got %s\nwant %s", test.replacement, got, test.want)
		}
	}
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	text := strings.NewReplacer(`"engine"`, `"gpu"`, `"r1"`, `""`, `"127.0.0.1:8000"`, `"x"`).Replace(validAgent)
	got := loadError(t, text, loadAgent)
	for _, want := range []string{"3 fields are invalid", "host.id: ", "backend_address: ", "backend_kind: "} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is not in %s", want, got)
		}
	}
}

func TestValidSettingsAreAccepted(t *testing.T) {
	if got := loadError(t, validAgent, loadAgent); got != "" {
		t.Fatal(got)
	}
	settings := Agent{}
	if err := Parse([]byte(validAgent), &settings); err != nil || settings.Host.ID != "r1" {
		t.Fatalf("%+v, %v", settings, err)
	}
	entry := strings.NewReplacer(`"agent"`, `"entry"`, `"backend_address": "127.0.0.1:8000",`, "", `"backend_kind": "engine"`, `"max_body_bytes": 9`).Replace(validAgent)
	if got := loadError(t, entry, func(path string) error { _, err := LoadEntry(path); return err }); got != "" {
		t.Fatal(got)
	}
}
