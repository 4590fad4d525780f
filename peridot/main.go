// Command peridot runs the roles of peridotstack and its stand-ins.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"peridotstack/peridotagent"
	"peridotstack/peridotdemo"
	"peridotstack/peridotentry"
	"peridotstack/peridotmetric"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
)

const version = "0.1.0"

func main() {
	log.SetHandler(json.New(os.Stderr))
	app := kingpin.New("peridot", "Serves language models and plain services on a limited fleet.").Version(version)
	demo := app.Command("demo", "Run all roles and the stand-ins in one process on loopback.")
	callers := demo.Flag("caller-address", "Address of an entry instance for callers; may be repeated.").Default("127.0.0.1:8080", "127.0.0.1:8081").Strings()
	operators := demo.Flag("operator-address", "Address of an entry instance for operators; one for each caller address.").Default("127.0.0.1:9080", "127.0.0.1:9081").Strings()
	entry := app.Command("entry", "Run an entry instance.")
	entrySettings := entry.Flag("settings", "Settings file.").Required().ExistingFile()
	agent := app.Command("agent", "Run the process beside a backend server.")
	agentSettings := agent.Flag("settings", "Settings file.").Required().ExistingFile()

	addMeasure(app)

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch command {
	case demo.FullCommand():
		err = runDemo(ctx, *callers, *operators)
	case entry.FullCommand():
		err = runEntry(ctx, *entrySettings)
	case agent.FullCommand():
		err = runAgent(ctx, *agentSettings)
	}
	app.FatalIfError(err, "%s", command)
}

func runDemo(ctx context.Context, callers, operators []string) error {
	d, err := peridotdemo.New(os.Stdout, callers, operators)
	if err != nil {
		return err
	}
	return d.Serve(ctx)
}

func runEntry(ctx context.Context, path string) error {
	var s peridotsettings.Entry
	if err := peridotsettings.Load(path, &s); err != nil {
		return err
	}
	metrics, closer := peridotmetric.New("entry")
	defer closer.Close()
	return peridotentry.New(s, peridotplatform.NewClient(s.PlatformAddress), peridotentry.WithMetrics(metrics)).Serve(ctx)
}

func runAgent(ctx context.Context, path string) error {
	var s peridotsettings.Agent
	if err := peridotsettings.Load(path, &s); err != nil {
		return err
	}
	metrics, closer := peridotmetric.New("agent")
	defer closer.Close()
	return peridotagent.New(s, peridotplatform.NewClient(s.PlatformAddress), peridotagent.WithMetrics(metrics)).Serve(ctx)
}
