package peridotfront

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotplace"
	"peridotstack/peridotusage"
)

// maxAccountsPerDatagram limits the number of accounts in one datagram; further
// accounts are sent in additional datagrams. An account takes about 16 bytes.
const maxAccountsPerDatagram = 300

// message is one datagram between fronts. It encodes field names as integers and
// backend servers as hashes, because a slow link carries the datagrams of every
// front.
type message struct {
	// From is the instance name of the sender. Messages with origins, questions, answers or
	// Quarantine have no From and Address, because there are many of them; instances that
	// don't know these fields ignore such a message.
	From string `cbor:"1,keyasint,omitempty"`
	// Address is the Settings.PeerAddress of the sender.
	Address    string      `cbor:"2,keyasint,omitempty"`
	Loads      []load      `cbor:"3,keyasint,omitempty"`
	Placements []placement `cbor:"4,keyasint,omitempty"`
	// Usage contains the requests per account in one window, and Seal a part of the
	// final counts of a sealed one. Both are nil if the message carries a load report
	// instead.
	Usage *usage `cbor:"5,keyasint,omitempty"`
	Seal  *seal  `cbor:"11,keyasint,omitempty"`
	// Peers contains the addresses of the other fronts from which the sender
	// currently receives datagrams.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// StoreAnsweringMillis is how long the table service has answered the sender
	// without interruption; 0 if it does not answer.
	StoreAnsweringMillis uint32 `cbor:"7,keyasint,omitempty"`
	// Origins contains origins of which the receiver is to keep a copy.
	Origins []originGroup `cbor:"8,keyasint,omitempty"`
	// Question asks for origins; nil if the message asks none.
	Question *originQuestion `cbor:"9,keyasint,omitempty"`
	// Answer answers a Question; nil if the message answers none.
	Answer *originAnswer `cbor:"10,keyasint,omitempty"`
	// Questions and Answers contain several of them.
	Questions []originQuestion `cbor:"15,keyasint,omitempty"`
	Answers   []originAnswer   `cbor:"18,keyasint,omitempty"`
	// Quarantine tells under which parts of prompts servers ended; nil if the message tells
	// nothing of that.
	Quarantine *quarantineReport `cbor:"12,keyasint,omitempty"`
	// Limits contains limits that backend servers named in answers to the sender, and
	// Demands its rates of requests.
	Limits  []observedLimit `cbor:"13,keyasint,omitempty"`
	Demands []demand        `cbor:"14,keyasint,omitempty"`
	// Software contains software versions that the sender has seen registered.
	Software []softwareAge `cbor:"16,keyasint,omitempty"`
	// KnowsPast is set if Software contains those that left before the sender started.
	KnowsPast bool `cbor:"17,keyasint,omitempty"`
	// StoredOrigins contains origins that the receiver is to store in the table service.
	StoredOrigins []originGroup `cbor:"20,keyasint,omitempty"`
	// QuarantineDetails completes Quarantine; nil without one and from older program versions.
	QuarantineDetails *quarantineDetails `cbor:"22,keyasint,omitempty"`
	// Quota tells what client accounts with a limit have used at the sender, and QuotaStart
	// identifies its start; 0 if no account has a limit.
	Quota      []quotaUsage `cbor:"23,keyasint,omitempty"`
	QuotaStart uint64       `cbor:"24,keyasint,omitempty"`
	// QuotaLevels is what the sender takes to be left of the limits in Quota, unless it has
	// started too recently to know.
	QuotaLevels []float32 `cbor:"26,keyasint,omitempty"`
	// HoldsDuties is set if the sender holds the lease of the duties.
	HoldsDuties bool `cbor:"19,keyasint,omitempty"`
	// Locality tells the load of the sender's failure domain; nil if there are no scarce plain
	// services, and from older program versions.
	Locality *localityReport `cbor:"25,keyasint,omitempty"`
	// Turns completes Loads for servers of scarce services; instances that don't know it
	// ignore it.
	Turns []turn `cbor:"30,keyasint,omitempty"`
}

// load is the encoded form of a peridotplace.Load.
type load struct {
	_             struct{} `cbor:",toarray"`
	Server        uint32
	ReadingMillis uint32
	LateMillis    uint32
	Running       uint32
}

// turn is the encoded form of the rest of a peridotplace.Load.
type turn struct {
	_           struct{} `cbor:",toarray"`
	Server      uint32
	Interactive uint32
}

// placement is the encoded form of a peridotplace.Placement. Parts alternates
// between the hash and the token count of each part.
type placement struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Parts  []uint32
}

// usage contains the requests per account that one process counted in one window.
// The counts never decrease.
type usage struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Window      int64
	Counts      map[string]int64
}

// seal contains a part of the final counts of a sealed window, which has Accounts
// accounts in all.
type seal struct {
	_        struct{} `cbor:",toarray"`
	Window   int64
	Accounts int
	Counts   map[string]int64
}

// serverHash returns the hash that identifies a backend server in datagrams.
func serverHash(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// addReport adds a load report to the message.
func (m *message) addReport(r peridotplace.Report) {
	for _, l := range r.Loads {
		m.Loads = append(m.Loads, load{Server: serverHash(l.Backend), ReadingMillis: uint32(l.PrefillTime.Milliseconds()), LateMillis: uint32(l.LatePrefillTime.Milliseconds()), Running: uint32(l.Running)})
		if l.Interactive > 0 && len(m.Turns) < maxTurnsPerDatagram {
			m.Turns = append(m.Turns, turn{Server: serverHash(l.Backend), Interactive: uint32(l.Interactive)})
		}
	}
	for _, placed := range r.Placements {
		entry := placement{Server: serverHash(placed.Backend)}
		for _, part := range placed.Parts {
			entry.Parts = append(entry.Parts, part.Hash, uint32(part.Tokens))
		}
		m.Placements = append(m.Placements, entry)
	}
	m.Locality = newLocalityReport(r)
}

// report returns the load report in the message. It omits backend servers whose
// hash is not in ids.
func (m *message) report(ids map[uint32]string) peridotplace.Report {
	var r peridotplace.Report
	turns := make(map[uint32]turn, len(m.Turns))
	for _, t := range m.Turns {
		turns[t.Server] = t
	}
	for _, l := range m.Loads {
		if id, ok := ids[l.Server]; ok {
			r.Loads = append(r.Loads, peridotplace.Load{Backend: id, PrefillTime: time.Duration(l.ReadingMillis) * time.Millisecond, LatePrefillTime: time.Duration(l.LateMillis) * time.Millisecond, Running: int(l.Running), Interactive: int(min(turns[l.Server].Interactive, l.Running))})
		}
	}
	for _, entry := range m.Placements {
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

// splitUsage splits the counts of windows into parts that each fit into a datagram.
func splitUsage(incarnation string, windows map[peridotusage.Window]map[string]int64) []*usage {
	var list []*usage
	for w, counts := range windows {
		for _, part := range splitCounts(counts) {
			list = append(list, &usage{Incarnation: incarnation, Window: int64(w), Counts: part})
		}
	}
	return list
}

// splitSeals splits the final counts of windows into parts that each fit into a
// datagram.
func splitSeals(windows map[peridotusage.Window]map[string]int64) []*seal {
	var list []*seal
	for w, counts := range windows {
		for _, part := range splitCounts(counts) {
			list = append(list, &seal{Window: int64(w), Accounts: len(counts), Counts: part})
		}
	}
	return list
}

// splitCounts splits counts into parts of at most maxAccountsPerDatagram accounts.
func splitCounts(counts map[string]int64) []map[string]int64 {
	var list []map[string]int64
	var part map[string]int64
	for account, n := range counts {
		if part == nil || len(part) == maxAccountsPerDatagram {
			part = make(map[string]int64)
			list = append(list, part)
		}
		part[account] = n
	}
	return list
}

// encode encodes the message as a datagram, without Locality if it would be too large with
// it. It returns an error if the datagram would exceed maxDatagramBytes.
func (m *message) encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(data) > maxDatagramBytes && m.Locality != nil {
		shorter := *m
		shorter.Locality = nil
		return shorter.encode()
	}
	if len(data) > maxDatagramBytes {
		return nil, errors.Errorf("datagram of %d bytes, at most %d can be sent", len(data), maxDatagramBytes)
	}
	return data, nil
}

// decodeMessage decodes a datagram.
func decodeMessage(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	return &m, nil
}
