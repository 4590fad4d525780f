package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotcheck"
	"peridotstack/platform"
)

// exitStatus is an error that ends the process with its value as the exit code. What is wrong
// has been printed before.
type exitStatus int

// Error returns the exit code.
func (s exitStatus) Error() string {
	return "exit code " + strconv.Itoa(int(s))
}

// Exit codes of the command check. It ends with 0 if there are no findings.
const (
	checkWarned exitStatus = 1
	checkFailed exitStatus = 2
	// checkUnread means that nothing was checked: a file can't be read, or the command line is
	// wrong.
	checkUnread exitStatus = 3
)

// checkReport is the result of the command check in JSON.
type checkReport struct {
	File     string
	Errors   int
	Warnings int
	Findings []peridotcheck.Finding
	// Changes is what differs from the configuration in force. It is absent without one.
	Changes []peridotcheck.Change `json:",omitempty"`
}

// checkFiles are the arguments of the command check. All but the first may be empty.
type checkFiles struct {
	config, against, settings string
	// largestRequest is the cost of the largest request in tokens; 0 means unknown.
	largestRequest float64
}

// checkCommand returns the command that checks a configuration without a network.
func checkCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("check", "Check a configuration of the users' platform. Exits with 0 without findings, 1 with warnings only, 2 with errors, 3 if a file can't be read.")
	var files checkFiles
	clause.Arg("file", "Configuration in JSON.").Required().StringVar(&files.config)
	clause.Flag("against", "Configuration in force; prints what differs from it.").StringVar(&files.against)
	clause.Flag("settings", "Settings file of the smallest front, for its memory.").StringVar(&files.settings)
	clause.Flag("largest-request", "Cost of the largest request, in tokens, for the bursts of accounts.").Float64Var(&files.largestRequest)
	return command{clause, func(context.Context) error {
		report, err := check(files)
		if err != nil {
			app.Errorf("check: %s", err)
			return checkUnread
		}
		if err := report.write(c.out, *c.asJSON); err != nil {
			return errors.Wrap(err, "write report")
		}
		return report.status()
	}}
}

// check checks the files. It returns an error if one of them can't be read, or if the
// configuration in force or the settings are invalid.
func check(files checkFiles) (*checkReport, error) {
	data, err := os.ReadFile(files.config)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	source := peridotcheck.ParseSource(data)
	options := []peridotcheck.Option{peridotcheck.WithSource(source), peridotcheck.WithKnownFields(platform.ConfigFields()), peridotcheck.WithLargestRequest(files.largestRequest)}
	if files.settings != "" {
		settings, err := platform.LoadSettings(files.settings)
		if err != nil {
			return nil, err
		}
		options = append(options, peridotcheck.WithMemory(settings.MemoryBytes))
	}
	report := &checkReport{File: files.config, Findings: []peridotcheck.Finding{}}
	config, problems := platform.DecodeConfig(data)
	if files.against != "" {
		data, err := os.ReadFile(files.against)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration in force")
		}
		current, unclear := platform.DecodeConfig(data)
		if len(unclear) > 0 {
			return nil, errors.Errorf("%s: configuration in force: %s", files.against, unclear[0].Text)
		}
		options = append(options, peridotcheck.WithCurrent(current))
		if config != nil {
			report.Changes = peridotcheck.Compare(current, config, source)
		}
	}
	if config == nil {
		report.add(peridotcheck.Refused(problems, source))
	} else {
		report.add(peridotcheck.Check(config, options...))
	}
	return report, nil
}

func (r *checkReport) add(findings []peridotcheck.Finding) {
	r.Findings = append(r.Findings, findings...)
	for _, f := range findings {
		if f.Severity == peridotcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
}

// status returns the exit code, or nil without findings.
func (r *checkReport) status() error {
	switch {
	case r.Errors > 0:
		return checkFailed
	case r.Warnings > 0:
		return checkWarned
	}
	return nil
}

// write writes the report as JSON, or as text with a line for each finding and change.
func (r *checkReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if err := r.writeLine(w, f.Line, f.Severity.String(), f.Field, f.Text); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if err := r.writeLine(w, c.Line, "change", c.Field, c.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d errors, %d warnings, %d changes\n", r.Errors, r.Warnings, len(r.Changes))
	return err
}

// writeLine writes the place in the file, as far as it is known, and the text.
func (r *checkReport) writeLine(w io.Writer, line int, kind, field, text string) error {
	place := r.File
	if line > 0 {
		place += ":" + strconv.Itoa(line)
	}
	if field != "" {
		text = field + ": " + text
	}
	_, err := fmt.Fprintf(w, "%s: %s: %s\n", place, kind, text)
	return err
}

// isCheck reports whether the first of the arguments that is no flag is the command check.
func isCheck(args []string) bool {
	for _, arg := range args {
		if !strings.HasPrefix(arg, "-") {
			return arg == "check"
		}
	}
	return false
}

// expandCheckFlags returns the arguments with a second dash before the long flags of the command
// check that have only one: kingpin would take each letter for a flag.
func expandCheckFlags(args []string) []string {
	if !isCheck(args) {
		return args
	}
	expanded := make([]string, 0, len(args))
	for _, arg := range args {
		if arg == "-json" || arg == "-against" || arg == "-settings" {
			arg = "-" + arg
		}
		expanded = append(expanded, arg)
	}
	return expanded
}

// usageStatus returns the exit code for a command line that can't be parsed. 1 would say that
// the command check had only warnings.
func usageStatus(args []string) int {
	if isCheck(args) {
		return int(checkUnread)
	}
	return 1
}
