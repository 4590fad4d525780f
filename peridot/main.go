// Command peridot runs the processes of peridotstack, the stand-ins for its
// surroundings, and the commands for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"
)

const version = "0.1.0"

// command is one subcommand. Its flags are parsed before run is called.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	log.SetHandler(json.New(os.Stderr))
	logging.SetLevel(logging.LevelError)
	app := kingpin.New("peridot", "Serves language models and plain services on a limited fleet.").Version(version)
	commands := []command{demoCommand(app), entryCommand(app), agentCommand(app), frontCommand(app)}
	commands = append(commands, standinCommands(app)...)
	commands = append(commands, operatorCommands(app)...)
	commands = append(commands, measureCommand(app), explainCommand(app))
	chosen, err := app.Parse(expandCheckFlags(os.Args[1:]))
	if err != nil {
		app.Errorf("%s, try --help", err)
		os.Exit(usageStatus(os.Args[1:]))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() == chosen {
			err := c.run(ctx)
			var status exitStatus
			if errors.As(err, &status) {
				os.Exit(int(status))
			}
			app.FatalIfError(err, "%s", chosen)
		}
	}
}
