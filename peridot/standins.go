package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
)

// standinCommands returns the commands that run the stand-ins for the platform,
// an engine and a plain service as separate processes. They are meant for trying
// the system out.
func standinCommands(app *kingpin.Application) []command {
	platform := app.Command("standin-platform", "Run the stand-in for the platform.")
	platformPath := settingsFlag(platform)
	engine := app.Command("standin-engine", "Run the stand-in for a model engine.")
	enginePath := settingsFlag(engine)
	service := app.Command("standin-service", "Run the stand-in for a plain service.")
	servicePath := settingsFlag(service)
	return []command{
		{platform, func(ctx context.Context) error {
			var s peridotsettings.Platform
			if err := peridotsettings.Load(*platformPath, &s); err != nil {
				return err
			}
			return serveStandin(ctx, s.Address, peridotstandin.NewPlatform(s.Instances...).Handler())
		}},
		{engine, func(ctx context.Context) error {
			var s peridotsettings.Backend
			if err := peridotsettings.Load(*enginePath, &s); err != nil {
				return err
			}
			return serveStandin(ctx, s.Address, newEngine(s).Handler())
		}},
		{service, func(ctx context.Context) error {
			var s peridotsettings.Backend
			if err := peridotsettings.Load(*servicePath, &s); err != nil {
				return err
			}
			return serveStandin(ctx, s.Address, &peridotstandin.Service{})
		}},
	}
}

func newEngine(s peridotsettings.Backend) *peridotstandin.Engine {
	return peridotstandin.NewEngine(peridotstandin.EngineOptions{
		Model:                  s.Model,
		Version:                s.Version,
		Role:                   "Mixed",
		PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		TokenInterval:          time.Duration(s.TokenIntervalMillis) * time.Millisecond,
		OrderTime:              time.Duration(s.OrderMillis) * time.Millisecond,
		CheckFencingTokens:     s.ChecksTokens,
	})
}

// serveStandin serves h until ctx is done.
func serveStandin(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "Address")
	}
	server := &http.Server{Handler: h}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	log.Info("standin: serving on " + listener.Addr().String())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
