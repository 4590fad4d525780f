package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotclock"
	"peridotstack/peridotfront"
	"peridotstack/peridotlog"
	"peridotstack/peridotmetric"
	"peridotstack/peridotreserve"
	"peridotstack/platform"
)

// frontCommand returns the command that runs a front on the users' platform. Its
// settings file has the platform's format. Without the flag, the environment
// variable platform.SettingsVariable holds the file's path.
func frontCommand(app *kingpin.Application) command {
	clause := app.Command("front", "Run a front on the users' platform.")
	path := clause.Flag("settings", "Settings file in the platform's format.").Envar(platform.SettingsVariable).Required().String()
	return command{clause, func(ctx context.Context) error {
		// The signal is caught until the process exits: by default it would end a front
		// that starts or drains.
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return err
		}
		handler := peridotlog.NewHandler()
		log.SetHandler(handler)
		log.SetLevel(log.DebugLevel)
		writeCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
		writerDone := make(chan struct{})
		go func() {
			defer close(writerDone)
			handler.Serve(writeCtx, os.Stdout)
		}()
		go checkSettings(reloads, *path)
		debug.SetMemoryLimit(peridotreserve.LimitsOf(settings.MemoryBytes, settings.MaxDescriptors).RuntimeBytes)
		err = serveFront(ctx, settings)
		stopWriter()
		<-writerDone
		return err
	}}
}

// serveFront runs a front and its metrics page until ctx is done.
func serveFront(ctx context.Context, settings peridotfront.Settings) error {
	metrics, closer := peridotmetric.New("front")
	defer closer.Close()
	listener, err := net.Listen("tcp", settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "MetricsAddress")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	server := &http.Server{Handler: mux}
	go func() { _ = peridotfront.ServeBounded(listener, server) }() // Ends with Close.
	defer server.Close()
	clock := &peridotclock.SharedClock{}
	client := platform.NewClient(settings.StoreAddress, settings.CloudAddress, clock, platform.WithCatchUpTime(settings.CatchUpTime), platform.WithLeaveWithin(settings.LeaveWithin), platform.WithCallObserver(metrics.RecordDuration))
	front := peridotfront.New(settings, client, platform.Protocol{}, clock, peridotfront.WithMetrics(metrics))
	return front.Serve(ctx)
}

// checkSettings checks the settings file for each signal from reloads and logs the
// result. A running process doesn't apply changes of the file; they take effect at the
// next start.
func checkSettings(reloads <-chan os.Signal, path string) {
	for range reloads {
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Error("front: reloaded settings are invalid; the old ones stay in force")
			continue
		}
		log.Info("front: reloaded settings")
	}
}
