package peridotfront

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotplace"
	"peridotstack/peridotusage"
)

// maxAccounts bounds the accounts in one datagram; more are told in several. An
// account takes some 16 bytes.
const maxAccounts = 300

// message is one datagram between fronts. Numbers stand for the field names and
// hashes for the servers, since a narrow link carries datagrams of every front.
type message struct {
	From    string      `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	Loads   []load      `cbor:"3,keyasint,omitempty"`
	Placed  []placement `cbor:"4,keyasint,omitempty"`
	// Usage counts the requests per account of one window.
	Usage *usage `cbor:"5,keyasint,omitempty"`
	// Peers are the addresses of the other fronts that the sender hears.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// StoreMillis is for how long the table service has answered the sender without
	// a break; 0 while it does not.
	StoreMillis uint32 `cbor:"7,keyasint,omitempty"`
}

// load is a peridotplace.Load.
type load struct {
	_             struct{} `cbor:",toarray"`
	Server        uint32
	ReadingMillis uint32
	LateMillis    uint32
	Running       uint32
}

// placement is a peridotplace.Placement; the parts' hashes and tokens take turns.
type placement struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Parts  []uint32
}

// usage is what one process counted in one window. The figures only grow.
type usage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Window      int64
	Counts      map[string]int64
}

// serverHash stands for a backend server in datagrams.
func serverHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// setReport puts a report into a message.
func (m *message) setReport(r peridotplace.Report) {
	for _, l := range r.Loads {
		m.Loads = append(m.Loads, load{Server: serverHash(l.Backend), ReadingMillis: uint32(l.PrefillTime.Milliseconds()), LateMillis: uint32(l.LatePrefillTime.Milliseconds()), Running: uint32(l.Running)})
	}
	for _, placed := range r.Placements {
		entry := placement{Server: serverHash(placed.Backend)}
		for _, part := range placed.Parts {
			entry.Parts = append(entry.Parts, part.Hash, uint32(part.Tokens))
		}
		m.Placed = append(m.Placed, entry)
	}
}

// report returns the report in a message, without servers that ids does not know.
func (m *message) report(ids map[uint32]string) peridotplace.Report {
	var r peridotplace.Report
	for _, l := range m.Loads {
		if id, ok := ids[l.Server]; ok {
			r.Loads = append(r.Loads, peridotplace.Load{Backend: id, PrefillTime: time.Duration(l.ReadingMillis) * time.Millisecond, LatePrefillTime: time.Duration(l.LateMillis) * time.Millisecond, Running: int(l.Running)})
		}
	}
	for _, entry := range m.Placed {
		id, ok := ids[entry.Server]
		if !ok {
			continue
		}
		placed := peridotplace.Placement{Backend: id}
		for i := 0; i+1 < len(entry.Parts); i += 2 {
			placed.Parts = append(placed.Parts, peridotplace.Part{Hash: entry.Parts[i], Tokens: int(entry.Parts[i+1])})
		}
		r.Placements = append(r.Placements, placed)
	}
	return r
}

// usageMessages returns the figures of windows in messages that fit a datagram.
func usageMessages(incarnation string, windows map[peridotusage.Window]map[string]int64) []*usage {
	var list []*usage
	for w, counts := range windows {
		var part *usage
		for account, n := range counts {
			if part == nil || len(part.Counts) == maxAccounts {
				part = &usage{Incarnation: incarnation, Window: int64(w), Counts: make(map[string]int64)}
				list = append(list, part)
			}
			part.Counts[account] = n
		}
	}
	return list
}

// encode returns the datagram of a message.
func (m *message) encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(data) > maxDatagram {
		return nil, errors.Errorf("datagram of %d bytes, at most %d can be sent", len(data), maxDatagram)
	}
	return data, nil
}

// decodeMessage reads a datagram.
func decodeMessage(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	return &m, nil
}
