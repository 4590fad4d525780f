package main

import (
	"context"
	"net"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotagent"
	"peridotstack/peridotdemo"
	"peridotstack/peridotentry"
	"peridotstack/peridotmetric"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotwire"
)

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Run all roles and the stand-ins in one process on loopback.")
	callers := clause.Flag("caller-address", "Address of an entry instance for callers; may be repeated.").Default("127.0.0.1:8080", "127.0.0.1:8081").Strings()
	operators := clause.Flag("operator-address", "Address of an entry instance for operators; one for each caller address.").Default("127.0.0.1:9080", "127.0.0.1:9081").Strings()
	return command{clause, func(ctx context.Context) error {
		if len(*callers) != len(*operators) {
			return errors.Errorf("got %d caller addresses and %d operator addresses; give as many of one as of the other", len(*callers), len(*operators))
		}
		d, err := peridotdemo.New(os.Stdout, *callers, *operators)
		if err != nil {
			return err
		}
		return d.Serve(ctx)
	}}
}

func settingsFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("settings", "Settings file in JSON.").Required().ExistingFile()
}

func entryCommand(app *kingpin.Application) command {
	clause := app.Command("entry", "Run an entry instance.")
	path := settingsFlag(clause)
	return command{clause, func(ctx context.Context) error {
		var s peridotsettings.Entry
		if err := peridotsettings.Load(*path, &s); err != nil {
			return err
		}
		identity, err := loadIdentity(s.TLS)
		if err != nil {
			return err
		}
		metrics, closer := peridotmetric.New("entry")
		defer closer.Close()
		entry := peridotentry.New(s, peridotplatform.NewClient(s.PlatformAddress), peridotentry.WithMetrics(metrics), peridotentry.WithIdentity(identity))
		return entry.Serve(ctx)
	}}
}

func agentCommand(app *kingpin.Application) command {
	clause := app.Command("agent", "Run the agent of a backend server.")
	path := settingsFlag(clause)
	return command{clause, func(ctx context.Context) error {
		var s peridotsettings.Agent
		if err := peridotsettings.Load(*path, &s); err != nil {
			return err
		}
		identity, err := loadIdentity(s.TLS)
		if err != nil {
			return err
		}
		metrics, closer := peridotmetric.New("agent")
		defer closer.Close()
		agent := peridotagent.New(s, peridotplatform.NewClient(s.PlatformAddress), peridotagent.WithMetrics(metrics), peridotagent.WithIdentity(identity))
		return serveAgent(ctx, agent, s.OperatorAddress)
	}}
}

// serveAgent runs an agent and serves its operator pages until the agent ends.
func serveAgent(ctx context.Context, agent *peridotagent.Agent, operatorAddress string) error {
	listener, err := net.Listen("tcp", operatorAddress)
	if err != nil {
		return errors.Wrap(err, "OperatorAddress")
	}
	server := &http.Server{Handler: agent.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	return agent.Serve(ctx)
}

// loadIdentity returns the TLS identity of a process, or nil without TLS
// settings. It reads the certificates once, so that a process with invalid ones
// doesn't start.
func loadIdentity(s *peridotsettings.TLS) (*peridotwire.Identity, error) {
	if s == nil {
		return nil, nil
	}
	identity := &peridotwire.Identity{CertificateFile: s.CertificateFile, KeyFile: s.KeyFile, AuthorityFile: s.AuthorityFile}
	return identity, errors.Wrap(identity.Check(), "TLS")
}
