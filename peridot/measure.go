package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotmeasure"
)

// measure is the command that measures the decisions against baselines.
type measure struct {
	profile  string
	scenario string
	seed     uint64
	trace    string
	record   string
	json     bool
}

// measureCommand adds the command to app.
func measureCommand(app *kingpin.Application) command {
	m := &measure{}
	clause := app.Command("measure", "Measure the decisions against baselines on a fake clock.")
	clause.Flag("profile", "quadro or jamaica.").Default("quadro").EnumVar(&m.profile, "quadro", "jamaica")
	clause.Flag("scenario", "A scenario, single, pairs or all.").Default("single").StringVar(&m.scenario)
	clause.Flag("seed", "Seed of the trace and of all decisions.").Default("1").Uint64Var(&m.seed)
	clause.Flag("trace", "Replay this file instead of a generated trace.").ExistingFileVar(&m.trace)
	clause.Flag("record", "Write the trace to this file; for one scenario only.").StringVar(&m.record)
	clause.Flag("json-lines", "Print JSON lines instead of tables.").BoolVar(&m.json)
	return command{clause: clause, run: func(context.Context) error { return m.run(os.Stdout) }}
}

func (m *measure) run(w io.Writer) error {
	scenarios, err := peridotmeasure.FindScenarios(m.scenario)
	if err != nil {
		return err
	}
	if m.record != "" && len(scenarios) > 1 {
		return errors.New("--record needs one scenario")
	}
	profile, err := peridotmeasure.FindProfile(m.profile)
	if err != nil {
		return err
	}
	for _, scenario := range scenarios {
		trace, err := m.load(profile, scenario)
		if err != nil {
			return err
		}
		results := peridotmeasure.RunAll(profile, scenario, trace, m.seed)
		if m.json {
			err = peridotmeasure.WriteJSON(w, results)
		} else {
			err = peridotmeasure.WriteTable(w, results)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// load reads or generates a trace, and records it when asked to.
func (m *measure) load(p peridotmeasure.Profile, s peridotmeasure.Scenario) ([]peridotmeasure.Record, error) {
	trace := peridotmeasure.Generate(p, s, m.seed)
	if m.trace != "" {
		file, err := os.Open(m.trace)
		if err != nil {
			return nil, errors.Wrap(err, "open trace")
		}
		defer file.Close()
		if trace, err = peridotmeasure.ReadTrace(file); err != nil {
			return nil, err
		}
	}
	if m.record == "" {
		return trace, nil
	}
	file, err := os.Create(m.record)
	if err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	defer file.Close()
	return trace, peridotmeasure.WriteTrace(file, trace)
}
