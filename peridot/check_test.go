package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// TestCheckCommand guards against exit codes that scripts misunderstand, also for a wrong command
// line, and against findings that are missing in one of the two formats.
func TestCheckCommand(t *testing.T) {
	for _, test := range []struct {
		args string
		code int
		want string
	}{
		{args: "sound.json", want: "0 errors, 0 warnings, 0 changes\n"},
		{args: "sound.json -against sound.json --settings front.toml", want: "0 errors, 0 warnings, 0 changes\n"},
		{args: "doubtful.json", code: 1, want: `doubtful.json:7: warning: routes[1].timout-ms: fronts don't read this field; is "timeout-ms" meant?`},
		{args: "doubtful.json", code: 1, want: "0 errors, 5 warnings, 0 changes\n"},
		{args: "doubtful.json --settings front.toml", code: 1, want: "doubtful.json:14: warning: limits.max-body-bytes: "},
		{args: "doubtful.json -against sound.json", code: 1, want: `doubtful.json:6: change: routes[1]: route "old-chat" is new`},
		{args: "sound.json --against doubtful.json", code: 2, want: "sound.json:2: error: version: "},
		{args: "refused.json", code: 2, want: "refused.json:4: error: routes[0]: "},
		{args: "missing.json", code: 3, want: "missing.json: no such file"},
		{args: "sound.json --against missing.json", code: 3, want: "missing.json: no such file"},
		{args: "sound.json --settings refused.json", code: 3, want: "settings file refused.json"},
		{args: "sound.json --unknown", code: 3, want: "unknown long flag"},
	} {
		code, output := runCheck(t, strings.Fields(test.args))
		if code != test.code || !strings.Contains(output, test.want) {
			t.Errorf("%s: got code %d and %s, want %d and %s", test.args, code, output, test.code, test.want)
		}
	}
	code, output := runCheck(t, []string{"refused.json", "-json"})
	var got struct {
		Errors   int
		Findings []struct {
			Severity, Field, Text string
			Line                  int
		}
	}
	if err := json.Unmarshal([]byte(output), &got); err != nil || code != 2 || got.Errors != 2 || len(got.Findings) != 2 {
		t.Fatalf("in JSON: got code %d and %s (%v), want two errors", code, output, err)
	}
	if f := got.Findings[0]; f.Severity != "error" || f.Field != "version" || f.Line != 2 || f.Text == "" {
		t.Errorf("in JSON: got %+v, want an error for the version in line 2", f)
	}
}

// runCheck runs the command check beside its test files, and returns the exit code and the output.
func runCheck(t *testing.T, args []string) (code int, output string) {
	t.Helper()
	command := exec.Command("peridot", append([]string{"check"}, args...)...)
	command.Dir = "testdata/check"
	var both bytes.Buffer
	command.Stdout, command.Stderr = &both, &both
	var ended *exec.ExitError
	if err := command.Run(); err != nil && !errors.As(err, &ended) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), both.String()
}
