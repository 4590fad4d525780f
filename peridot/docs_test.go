package main

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotsettings"
)

// readFiles returns the concatenated text of all files below a folder whose
// names have the given ending. It leaves out Go tests.
func readFiles(t *testing.T, folder, ending string) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ending) || strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		text.Write(body)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestDocsNameEverything checks that the documentation names each refusal code,
// counter and setting of the code.
func TestDocsNameEverything(t *testing.T) {
	source := readFiles(t, "..", ".go")
	docs := readFiles(t, "../docs", ".md")
	tests := []struct {
		what    string
		pattern string
		within  string
	}{
		{"refusal code", `Code = "([a-z_]+)"`, source},
		{"counter", `[cC]ount(?:er)?\("([a-z_]+?)_?"`, source},
		{"setting", `"([A-Z][A-Za-z]+)": \{`, readFiles(t, "../peridotsettings/schema", ".json")},
	}
	for _, test := range tests {
		t.Run(test.what, func(t *testing.T) {
			names := regexp.MustCompile(test.pattern).FindAllStringSubmatch(test.within, -1)
			if len(names) == 0 {
				t.Fatalf("got no %s at all", test.what)
			}
			for _, name := range names {
				if name[1] == "entry" || name[1] == "agent" {
					continue // A label in the benchmarks of usage, not a counter.
				}
				if !strings.Contains(docs, "`"+name[1]) {
					t.Errorf("%s %s: got no mention in docs", test.what, name[1])
				}
			}
		})
	}
}

// TestExamplesAreValid checks that the JSON files of the examples are valid
// settings, intents and lists of changes.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files and %v", len(files), err)
	}
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := checkExample(filepath.Base(file), body); err != nil {
			t.Errorf("%s: got %v, want nil", file, err)
		}
	}
}

func checkExample(name string, body []byte) error {
	if settings := settingsFor(name); settings != nil {
		return peridotsettings.Parse(body, settings)
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	return decoder.Decode(valueFor(name))
}

// settingsFor returns an empty value of the settings type of an example file, or
// nil if the file doesn't hold settings.
func settingsFor(name string) any {
	kind, _, _ := strings.Cut(strings.TrimSuffix(name, ".json"), "-")
	switch kind {
	case "entry":
		return &peridotsettings.Entry{}
	case "agent":
		return &peridotsettings.Agent{}
	case "engine", "service":
		return &peridotsettings.Backend{}
	case "platform":
		return &peridotsettings.Platform{}
	}
	return nil
}

// valueFor returns an empty value of the type of an example file that doesn't
// hold settings.
func valueFor(name string) any {
	if name == "intent.json" {
		return &peridotintent.Intent{}
	}
	return &peridotconfig.Changes{}
}
