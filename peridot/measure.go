package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotmeasure"
)

// measurement holds the flags of the measure command.
type measurement struct {
	profile    string
	scenario   string
	seed       uint64
	traceFile  string
	recordFile string
	jsonLines  bool
}

// measureCommand returns the command that compares the system's decisions with
// baselines.
func measureCommand(app *kingpin.Application) command {
	m := &measurement{}
	clause := app.Command("measure", "Compare the scheduling decisions with baselines on a fake clock.")
	clause.Flag("profile", "quadro or jamaica.").Default("quadro").EnumVar(&m.profile, "quadro", "jamaica")
	clause.Flag("scenario", "Name of a scenario, or single, pairs or all.").Default("single").StringVar(&m.scenario)
	clause.Flag("seed", "Seed of the trace and of all decisions.").Default("1").Uint64Var(&m.seed)
	clause.Flag("trace", "Replay this file instead of a generated trace.").ExistingFileVar(&m.traceFile)
	clause.Flag("record", "Write the trace to this file; for one scenario only.").StringVar(&m.recordFile)
	clause.Flag("json-lines", "Print JSON lines instead of tables.").BoolVar(&m.jsonLines)
	return command{clause: clause, run: func(context.Context) error { return m.run(os.Stdout) }}
}

func (m *measurement) run(w io.Writer) error {
	scenarios, err := peridotmeasure.FindScenarios(m.scenario)
	if err != nil {
		return err
	}
	if m.recordFile != "" && len(scenarios) > 1 {
		return errors.New("--record needs one scenario")
	}
	profile, err := peridotmeasure.FindProfile(m.profile)
	if err != nil {
		return err
	}
	for _, scenario := range scenarios {
		trace, err := m.loadTrace(profile, scenario)
		if err != nil {
			return err
		}
		results := peridotmeasure.RunAll(profile, scenario, trace, m.seed)
		if m.jsonLines {
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

// loadTrace reads the trace file, or generates a trace if none is given. It also
// writes the trace to the record file if one is given.
func (m *measurement) loadTrace(p peridotmeasure.Profile, s peridotmeasure.Scenario) ([]peridotmeasure.Record, error) {
	trace := peridotmeasure.Generate(p, s, m.seed)
	if m.traceFile != "" {
		file, err := os.Open(m.traceFile)
		if err != nil {
			return nil, errors.Wrap(err, "open trace")
		}
		defer file.Close()
		if trace, err = peridotmeasure.ReadTrace(file); err != nil {
			return nil, err
		}
	}
	if m.recordFile == "" {
		return trace, nil
	}
	file, err := os.Create(m.recordFile)
	if err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	defer file.Close()
	return trace, peridotmeasure.WriteTrace(file, trace)
}
