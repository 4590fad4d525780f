package peridotorigin

import "net/netip"

const (
	// MaxPending is the number of origins that wait for their batch.
	MaxPending = 1 << 13
	// MaxBatchBytes limits the encoded size of a batch, so that its datagram needs no
	// fragments.
	MaxBatchBytes = 1200
	// minCopies is the number of copies below which each origin is sent twice: with
	// more, the loss of one datagram does not matter.
	minCopies = Replicas
	// keyBytes and groupBytes are the encoded sizes of a key, and of a group without
	// its keys and version.
	keyBytes   = 9
	groupBytes = 6
)

// Group contains streams that the same software version began.
type Group struct {
	Version string
	Keys    []Key
}

// Batch contains origins of which the front at To is to keep a copy.
type Batch struct {
	To     netip.AddrPort
	Groups []Group
}

// Pending contains the origins that the other fronts have not received yet. Its zero
// value is empty.
type Pending struct {
	// origins contains the waiting origins.
	origins map[Key]pendingOrigin
	// order contains the keys in the order in which they were added. It may contain
	// keys that are no longer in origins.
	order []Key
}

type pendingOrigin struct {
	version string
	// sent is set once the origin has gone out in a batch.
	sent bool
}

// Add adds the origin of a stream, or merges it with the one that waits. It drops the oldest
// origin if there are MaxPending, and reports whether it did.
func (p *Pending) Add(key Key, version string) (dropped bool) {
	if o, ok := p.origins[key]; ok {
		if merged := Merge(o.version, version); merged != o.version {
			p.origins[key] = pendingOrigin{version: merged}
		}
		return false
	}
	if p.origins == nil {
		p.origins = make(map[Key]pendingOrigin)
	}
	for len(p.order) >= MaxPending {
		if _, ok := p.origins[p.order[0]]; ok {
			delete(p.origins, p.order[0])
			dropped = true
		}
		p.order = p.order[1:]
	}
	p.origins[key] = pendingOrigin{version: version}
	p.order = append(p.order, key)
	return dropped
}

// End removes the origin of a stream that has ended: nobody will ask for it.
func (p *Pending) End(key Key) {
	delete(p.origins, key)
}

// Len returns the number of waiting origins.
func (p *Pending) Len() int {
	return len(p.origins)
}

// Take returns the batches that are due. The function copies returns the fronts, other
// than this one, that are to keep a copy of a stream's origin. An origin that has few
// copies stays for the next call and then is sent once more.
func (p *Pending) Take(copies func(Key) []netip.AddrPort) []Batch {
	var batches batchList
	var again []Key
	for _, key := range p.order {
		o, ok := p.origins[key]
		if !ok {
			continue
		}
		to := copies(key)
		for _, address := range to {
			batches.add(address, key, o.version)
		}
		if o.sent || len(to) >= minCopies {
			delete(p.origins, key)
			continue
		}
		o.sent = true
		p.origins[key] = o
		again = append(again, key)
	}
	p.order = again
	return batches.list
}

// batchList builds batches of at most MaxBatchBytes.
type batchList struct {
	list []Batch
	// open contains the index in list and the size of the batch that is not full yet,
	// by front.
	open map[netip.AddrPort]openBatch
}

type openBatch struct {
	index, bytes int
}

// add adds an origin to the batch for the front at the given address.
func (l *batchList) add(to netip.AddrPort, key Key, version string) {
	if l.open == nil {
		l.open = make(map[netip.AddrPort]openBatch)
	}
	current, ok := l.open[to]
	if !ok || current.bytes+groupBytes+len(version)+keyBytes > MaxBatchBytes {
		l.list = append(l.list, Batch{To: to})
		current = openBatch{index: len(l.list) - 1}
	}
	b := &l.list[current.index]
	for i := range b.Groups {
		if b.Groups[i].Version == version {
			b.Groups[i].Keys = append(b.Groups[i].Keys, key)
			current.bytes += keyBytes
			l.open[to] = current
			return
		}
	}
	b.Groups = append(b.Groups, Group{Version: version, Keys: []Key{key}})
	current.bytes += groupBytes + len(version) + keyBytes
	l.open[to] = current
}
