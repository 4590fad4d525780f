package peridotfront

import (
	"context"

	"github.com/apex/log"

	"peridotstack/peridotlink"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

// inspectBreak finds out whether the engine has ended that broke off a run of a prompt
// before its first event. It does so in the background. ctx is that of the try: a run
// that this instance canceled says nothing about the engine.
func (s *stream) inspectBreak(ctx context.Context, at peridotsite.Backend, err *peridotverdict.Error) {
	x := s.exchange
	isBreak := err.Code == peridotverdict.PeerLost || err.Code == peridotverdict.ShortAnswer
	if !isBreak || s.hasEvents || ctx.Err() != nil || len(x.call.SharedParts) == 0 {
		return
	}
	fields := log.Fields{"request": x.call.ID, "backend": at.ID, "born": at.Born, "software": at.SoftwareVersion, "head": x.headReceived, "parts": x.call.SharedParts}
	go x.front.logPresence(at, fields)
}

// logPresence probes a backend server and logs the result with fields.
func (f *Front) logPresence(at peridotsite.Backend, fields log.Fields) {
	switch f.pool.Probe(context.Background(), at.Address) {
	case peridotlink.NotListening:
		f.metrics.Count("backend_ends")
		log.WithFields(fields).Warn(logPrefix + "backend server ended before the first event")
	case peridotlink.Listening:
		log.WithFields(fields).Info(logPrefix + "backend server still listens after it broke off a run")
	default:
		log.WithFields(fields).Info(logPrefix + "backend server broke off a run and cannot be reached")
	}
}
