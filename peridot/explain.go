package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotlog"
)

// explainCommand returns the command that prints what happened to one request,
// from the logs of the processes.
func explainCommand(app *kingpin.Application) command {
	clause := app.Command("explain", "Print what happened to one request, from the logs of the processes.")
	id := clause.Arg("request", "ID of the request.").Required().String()
	files := clause.Arg("file", "Log file of a process; - reads standard input.").Required().Strings()
	return command{clause, func(context.Context) error {
		var sources []peridotlog.Source
		for _, name := range *files {
			if name == "-" {
				sources = append(sources, peridotlog.Source{Name: "stdin", Reader: os.Stdin})
				continue
			}
			file, err := os.Open(name)
			if err != nil {
				return errors.Wrap(err, "open log")
			}
			defer file.Close()
			sources = append(sources, peridotlog.Source{Name: name, Reader: file})
		}
		found, unreadable, err := peridotlog.Explain(os.Stdout, *id, sources...)
		if err != nil {
			return errors.Wrap(err, "read logs")
		}
		if unreadable > 0 {
			fmt.Fprintf(os.Stderr, "%d lines are no log lines\n", unreadable)
		}
		if found == 0 {
			return errors.Errorf("no line names request %q; routine lines are sampled under load", *id)
		}
		return nil
	}}
}
