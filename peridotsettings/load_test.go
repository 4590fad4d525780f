package peridotsettings

import (
	"strings"
	"testing"
)

const validEntry = `{"Instance":"entry-1","Domain":"recife-a","OperatorAddress":"127.0.0.1:9080","PlatformAddress":"127.0.0.1:7000","ShutdownGraceMillis":10000,"CallerAddress":"127.0.0.1:8080","MaxBodyBytes":1048576,"BodyTimeoutMillis":10000}`

const validAgent = `{"Instance":"agent-1","Domain":"recife-a","OperatorAddress":"127.0.0.1:9080","PlatformAddress":"127.0.0.1:7000","ShutdownGraceMillis":10000,"PeerAddress":"127.0.0.1:7100","EngineAddress":"127.0.0.1:7200"}`

func TestParseValidSettings(t *testing.T) {
	var e Entry
	if err := Parse([]byte(validEntry), &e); err != nil {
		t.Errorf("entry: got %v, want nil", err)
	}
	if got, want := e.Instance, "entry-1"; got != want {
		t.Errorf("Instance: got %q, want %q", got, want)
	}
	var a Agent
	if err := Parse([]byte(validAgent), &a); err != nil {
		t.Errorf("agent: got %v, want nil", err)
	}
}

func TestParseReportsField(t *testing.T) {
	tests := []struct {
		name     string
		settings any
		body     string
		old, new string
		want     string
	}{
		{"unknown field", &Entry{}, validEntry, `"Instance"`, `"Instanz":"x","Instance"`, "Instanz: unknown field"},
		{"host name", &Entry{}, validEntry, "127.0.0.1:8080", "localhost:8080", `CallerAddress: got "localhost:8080"; allowed: an IP number and port`},
		{"unit in words", &Entry{}, validEntry, `"ShutdownGraceMillis":10000`, `"ShutdownGraceMillis":"10s"`, `ShutdownGraceMillis: got "10s"; allowed: a whole number of milliseconds from 1 to 3600000`},
		{"out of range", &Entry{}, validEntry, "1048576", "12", "MaxBodyBytes: got 12; allowed: a whole number of bytes from 1024"},
		{"missing failure domain", &Entry{}, validEntry, `"Domain":"recife-a",`, "", "Domain: missing; allowed: the name of a failure domain"},
		{"both kinds of backend server", &Agent{}, validAgent, `"EngineAddress"`, `"ServiceAddress":"127.0.0.1:1","Service":"a","EngineAddress"`, "set EngineAddress alone, or ServiceAddress and Service"},
		{"no TLS beyond loopback", &Agent{}, validAgent, `"PeerAddress":"127.0.0.1`, `"PeerAddress":"192.0.2.1`, "TLS: missing"},
		{"malformed", &Agent{}, validAgent, "{", "", "malformed JSON"},
		{"nested", &Platform{}, `{"Address":"127.0.0.1:1","Instances":[{"ID":"a","Role":"Boss","Domain":"d","Address":"127.0.0.1:2"}]}`, "", "", `Instances.0.Role: got "Boss"; allowed: Entry or Agent`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Parse([]byte(strings.Replace(test.body, test.old, test.new, 1)), test.settings)
			if err == nil {
				t.Fatalf("got nil, want an error that contains %q", test.want)
			}
			if got := err.Error(); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want it to contain %q", got, test.want)
			}
		})
	}
}
