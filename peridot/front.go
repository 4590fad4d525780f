package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotclock"
	"peridotstack/peridotfront"
	"peridotstack/peridotlog"
	"peridotstack/peridotmetric"
	"peridotstack/platform"
)

// frontCommand runs a front on the users' platform. Its settings file has the
// platform's format and stands where the platform's variable says.
func frontCommand(app *kingpin.Application) command {
	clause := app.Command("front", "Run a front on the users' platform.")
	path := clause.Flag("settings", "Settings file in the platform's format.").Envar(platform.SettingsVariable).Required().String()
	return command{clause, func(ctx context.Context) error {
		settings, err := platform.LoadSettings(*path)
		if err != nil {
			return err
		}
		lines := peridotlog.NewHandler()
		log.SetHandler(lines)
		log.SetLevel(log.DebugLevel)
		writing, stop := context.WithCancel(context.WithoutCancel(ctx))
		written := make(chan struct{})
		go func() {
			defer close(written)
			lines.Serve(writing, os.Stdout)
		}()
		err = serveFront(ctx, *path, settings)
		stop()
		<-written
		return err
	}}
}

func serveFront(ctx context.Context, path string, settings peridotfront.Settings) error {
	metrics, closer := peridotmetric.New("front")
	defer closer.Close()
	listener, err := net.Listen("tcp", settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "MetricsAddress")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	pages := &http.Server{Handler: mux}
	go func() { _ = pages.Serve(listener) }() // Ends with Close.
	defer pages.Close()
	go reload(ctx, path)
	clock := &peridotclock.SharedClock{}
	client := platform.NewClient(settings.StoreAddress, settings.CloudAddress, clock, platform.WithCatchUpTime(settings.CatchUpTime), platform.WithLeaveWithin(settings.LeaveWithin), platform.WithCallObserver(metrics.RecordDuration))
	front := peridotfront.New(settings, client, platform.Protocol{}, clock, peridotfront.WithMetrics(metrics))
	return front.Serve(ctx)
}

// reload checks the settings file again at each SIGHUP. What it holds is fixed
// while a process runs; a change counts from the next start.
func reload(ctx context.Context, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			if _, err := platform.LoadSettings(path); err != nil {
				log.WithError(err).Error("front: reloaded settings are not usable, the old ones stay in force")
				continue
			}
			log.Info("front: reloaded settings")
		case <-ctx.Done():
			return
		}
	}
}
