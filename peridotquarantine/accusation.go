package peridotquarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TTL is how long an accusation counts.
const TTL = 24 * time.Hour

// End identifies the end of a backend server: that of one incarnation.
type End uint64

// EndOf returns the end of the server with the given ID that started at born, a Unix time
// in ms.
func EndOf(id string, born int64) End {
	return End(xxhash.Sum64String(id + "\n" + strconv.FormatInt(born, 10)))
}

// Software is a software version of a service.
type Software struct {
	Service, Version string
}

// Accusation records that a backend server ended while it had to answer a request with the
// given part, before that answer was whole.
type Accusation struct {
	Part Part
	End  End
	// At is the software that the server ran.
	At Software
	// Begun is set if the head of a prompt's answer had come: the engine had begun to write.
	Begun bool
	// HadEvents is set if events of that answer had come, too. All streams that run at a
	// server when it ends have it, so that it is weaker evidence than a head alone.
	HadEvents bool `json:",omitempty"`
	// UnixSeconds and Millis are when the server ended, in true time. Millis is below 1000
	// and 0 in the rows and messages of older versions.
	UnixSeconds int64
	Millis      int64 `json:",omitempty"`
}

// Time returns when the server ended.
func (a Accusation) Time() time.Time {
	return time.Unix(a.UnixSeconds, a.Millis*int64(time.Millisecond))
}

// strength orders the accusations of one end: the strongest that any run gives counts.
func (a Accusation) strength() int {
	switch {
	case a.Begun && !a.HadEvents:
		return 2
	case a.HadEvents:
		return 1
	}
	return 0
}

// Expired reports whether the accusation doesn't count any more.
func (a Accusation) Expired(now time.Time) bool {
	return now.Unix()-a.UnixSeconds >= int64(TTL.Seconds())
}

// Answer records that a whole answer on a part came from a server.
type Answer struct {
	Part Part
	// At is the software that the server ran.
	At Software
	// UnixSeconds and Millis are when the answer came, in true time. Millis is below 1000.
	UnixSeconds int64
	Millis      int64 `json:",omitempty"`
}

// NewAnswer returns the record of a whole answer that came at the given time.
func NewAnswer(part Part, at Software, answeredAt time.Time) Answer {
	return Answer{Part: part, At: at, UnixSeconds: answeredAt.Unix(), Millis: int64(answeredAt.Nanosecond()) / int64(time.Millisecond)}
}

// Time returns when the answer came.
func (a Answer) Time() time.Time {
	return time.Unix(a.UnixSeconds, a.Millis*int64(time.Millisecond))
}

// Suspicion is a run that broke off before the end of its answer, for a reason that is not
// known yet.
type Suspicion struct {
	// ID and Born identify the incarnation of the backend server.
	ID   string
	Born int64
	// Address is that of the server.
	Address string
	At      Software
	// Parts are the whole request and the parts of its prompt.
	Parts []Part
	// Begun is set if the head of a prompt's answer had come.
	Begun bool
	// HadEvents is set if events of that answer had come.
	HadEvents bool
	// BrokeAt is when the run broke off, in true time.
	BrokeAt time.Time
}

// End returns the end of the server of the suspicion.
func (s Suspicion) End() End {
	return EndOf(s.ID, s.Born)
}

// Accusations returns the accusations that follow if the server has ended.
func (s Suspicion) Accusations() []Accusation {
	list := make([]Accusation, 0, len(s.Parts))
	for _, part := range s.Parts {
		list = append(list, Accusation{Part: part, End: s.End(), At: s.At, Begun: s.Begun, HadEvents: s.HadEvents, UnixSeconds: s.BrokeAt.Unix(), Millis: int64(s.BrokeAt.Nanosecond()) / int64(time.Millisecond)})
	}
	return list
}
