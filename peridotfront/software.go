package peridotfront

import (
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

// fixSoftware is called before an event of a server of the given software version is
// sent to the caller. All further events must have that version.
func (x *exchange) fixSoftware(software string) {
	if !x.answerStarted && x.route.Idempotent() {
		x.software, x.softwareFixed = software, true
	}
}

// softwareFits reports whether a server may serve the request: its software version must
// be that of the stream, and that of the KV cache if source is not nil.
func (x *exchange) softwareFits(to peridotsite.Backend, source *kvSource) bool {
	if x.softwareFixed && to.SoftwareVersion != x.software {
		return false
	}
	return source == nil || to.SoftwareVersion == source.backend.SoftwareVersion
}

// softwareChangedError returns the error of a try at a server that was chosen with
// another software version than it has now.
func softwareChangedError(to peridotsite.Backend) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the engine has another software version now: "+to.SoftwareVersion)
}
