package peridotmeasure

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotroute"
)

// engineState is what an engine is doing.
type engineState int

const (
	serving engineState = iota
	draining
	away
	down
	arriving
	gone
)

// sharedPart is the part of an engine's time that prefill and decode each get
// while they share it.
const sharedPart = 0.5

// engine is the fake of a model engine that batches continuously. Between two
// of its events all rates are constant.
type engine struct {
	id     string
	domain string
	kind   EngineKind
	clock  *clock
	tally  *tally

	role        peridotconfig.Role
	state       engineState
	availableAt time.Duration
	// nextRole is the role after the change under way.
	nextRole peridotconfig.Role
	// returning engines are gone once they have drained.
	returning bool
	// reserved counts jobs on their way to this engine or to be continued here.
	reserved int

	// at is the time up to which the work was done.
	at time.Duration
	// generation makes events that were set before a change of the rates void.
	generation int
	prompts    []*job
	current    *job
	left       float64
	waiting    []*job
	streams    streamQueue
	// produced is how many tokens each stream would have since the start.
	produced float64
	blocks   int
	cache    *prefixStore

	// onPrefix hears which prefixes the engine holds or has dropped.
	onPrefix func(hashes []uint64, gone bool)
	// onDrained hears that a draining engine has become idle.
	onDrained func()
}

// job is one attempt of a request at the engines.
type job struct {
	record   *Record
	prefixes []uint64
	priority int
	// prefillAt and decodeAt may be the same engine.
	prefillAt, decodeAt *engine
	// read is how much of the prompt was not cached.
	read int
	// start and end are the produced tokens between which the stream runs.
	start, end float64
	index      int
	ended      bool
	// reserved is set while the job will be continued at decodeAt.
	reserved bool

	onRead  func()
	onFirst func()
	onEnd   func()
	onFail  func()
}

// blocksFor returns the memory that a whole request needs.
func (e *engine) blocksFor(r *Record) int {
	return (r.PromptTokens + r.MaxTokens + e.kind.BlockTokens - 1) / e.kind.BlockTokens
}

// rates returns the tokens a second of prefill and of one stream.
func (e *engine) rates() (prefill, stream float64) {
	share := 1.0
	if e.current != nil && len(e.streams) > 0 {
		share = sharedPart * e.kind.Interference
	}
	if e.current != nil {
		prefill = e.kind.PrefillTokensPerSecond * share
	}
	if n := len(e.streams); n > 0 {
		stream = share / e.kind.Step.Seconds() * min(1, float64(e.kind.Knee)/float64(n))
	}
	return prefill, stream
}

// advance does the work up to now.
func (e *engine) advance() {
	elapsed := (e.clock.now - e.at).Seconds()
	e.at = e.clock.now
	if elapsed <= 0 {
		return
	}
	prefill, stream := e.rates()
	e.left -= prefill * elapsed
	e.produced += stream * elapsed
	if stream > 0 {
		e.tally.gap(1/stream, stream*elapsed*float64(len(e.streams)))
	}
}

// tick does the work, starts what can start, and sets the next event.
func (e *engine) tick() {
	const little = 1e-6
	e.advance()
	if e.current != nil && e.left <= little {
		e.endPrefill()
	}
	for len(e.streams) > 0 && e.streams[0].end <= e.produced+little {
		j := heap.Pop(&e.streams).(*job)
		e.free(j)
		j.ended = true
		j.onEnd()
	}
	e.startPrefill()
	e.startStreams()
	e.shrinkCache()
	e.schedule()
	if e.state == draining && e.idle() && e.onDrained != nil {
		done := e.onDrained
		e.onDrained = nil
		done()
	}
}

func (e *engine) idle() bool {
	return e.reserved == 0 && e.current == nil && len(e.prompts) == 0 && len(e.waiting) == 0 && len(e.streams) == 0
}

func (e *engine) schedule() {
	e.generation++
	prefill, stream := e.rates()
	next := math.Inf(1)
	if prefill > 0 {
		next = e.left / prefill
	}
	if stream > 0 {
		next = min(next, (e.streams[0].end-e.produced)/stream)
	}
	if math.IsInf(next, 1) {
		return
	}
	generation := e.generation
	e.clock.after(time.Duration(math.Ceil(max(0, next)*float64(time.Second))), func() {
		if generation == e.generation {
			e.tick()
		}
	})
}

// takePrompt queues a prompt to be read.
func (e *engine) takePrompt(j *job) {
	e.prompts = insert(e.prompts, j)
	e.tick()
}

// takeCache queues a request whose prompt was read elsewhere.
func (e *engine) takeCache(j *job) {
	e.waiting = insert(e.waiting, j)
	e.tick()
}

// insert puts j behind all jobs of its priority and higher ones.
func insert(list []*job, j *job) []*job {
	i := len(list)
	for i > 0 && list[i-1].priority < j.priority {
		i--
	}
	return slices.Insert(list, i, j)
}

func (e *engine) startPrefill() {
	if e.current != nil || len(e.prompts) == 0 {
		return
	}
	j := e.prompts[0]
	if j.decodeAt == e && !e.hasRoom(j) {
		return
	}
	e.prompts = e.prompts[1:]
	e.current = j
	e.blocks += e.blocksFor(j.record)
	j.read = e.unread(j)
	e.cache.use(j.prefixes)
	e.left = float64(j.read)
}

// unread returns how much of a prompt is not cached; the last token never is.
func (e *engine) unread(j *job) int {
	return max(1, j.record.PromptTokens-prefixTokens*e.cache.count(j.prefixes))
}

func (e *engine) hasRoom(j *job) bool {
	return len(e.streams) < e.kind.MaxStreams && e.blocks+e.blocksFor(j.record) <= e.kind.Blocks
}

func (e *engine) endPrefill() {
	j := e.current
	e.current = nil
	if added := e.cache.put(j.prefixes); len(added) > 0 {
		e.onPrefix(added, false)
	}
	if j.decodeAt == e {
		e.startStream(j)
		return
	}
	e.free(j)
	j.onRead()
}

func (e *engine) startStreams() {
	for len(e.waiting) > 0 && e.hasRoom(e.waiting[0]) {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.blocks += e.blocksFor(j.record)
		e.startStream(j)
	}
}

func (e *engine) startStream(j *job) {
	j.start = e.produced
	j.end = e.produced + float64(j.record.OutputTokens)
	heap.Push(&e.streams, j)
	_, stream := e.rates()
	e.clock.after(time.Duration(float64(time.Second)/stream), func() {
		if !j.ended {
			j.onFirst()
		}
	})
}

func (e *engine) free(j *job) {
	e.blocks -= e.blocksFor(j.record)
}

// shrinkCache drops prefixes that no longer fit beside what runs.
func (e *engine) shrinkCache() {
	room := (e.kind.Blocks - e.blocks) * e.kind.BlockTokens / prefixTokens
	if gone := e.cache.shrink(room); len(gone) > 0 {
		e.onPrefix(gone, true)
	}
}

// output returns how many tokens a stream has by now.
func (e *engine) output(j *job) int {
	_, stream := e.rates()
	produced := e.produced + stream*(e.clock.now-e.at).Seconds()
	return int(min(produced, j.end) - j.start)
}

// drop ends a job that its caller gave up on.
func (e *engine) drop(j *job) {
	e.advance()
	j.ended = true
	is := func(other *job) bool { return other == j }
	e.prompts = slices.DeleteFunc(e.prompts, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
	switch {
	case e.current == j:
		e.current = nil
		e.free(j)
	case j.index < len(e.streams) && e.streams[j.index] == j:
		heap.Remove(&e.streams, j.index)
		e.free(j)
	}
	e.tick()
}

// fail loses everything.
func (e *engine) fail() {
	e.advance()
	lost := slices.Concat(e.prompts, e.waiting, e.streams)
	if e.current != nil {
		lost = append(lost, e.current)
	}
	e.prompts, e.waiting, e.streams, e.current = nil, nil, nil, nil
	e.blocks = 0
	e.cache = newPrefixStore()
	e.state = down
	e.returning = false
	e.onDrained = nil
	e.generation++
	for _, j := range lost {
		j.ended = true
		j.onFail()
	}
}

// report returns what the engine tells of its load.
func (e *engine) report() peridotroute.Report {
	e.advance()
	r := peridotroute.Report{Instance: e.id, Running: len(e.streams), Waiting: len(e.prompts) + len(e.waiting)}
	for _, j := range e.prompts {
		r.PrefillTokens += e.unread(j)
	}
	if e.current != nil {
		r.Running++
		r.PrefillTokens += int(e.left)
	}
	for _, j := range e.waiting {
		r.DecodeTokens += j.record.MaxTokens
	}
	for _, j := range e.streams {
		r.DecodeTokens += j.record.MaxTokens - int(e.produced-j.start)
	}
	r.FreeBlocks = e.kind.Blocks - e.blocks
	return r
}

// streamQueue is a heap of streams, the first to end in front.
type streamQueue []*job

func (q streamQueue) Len() int { return len(q) }

func (q streamQueue) Less(i, j int) bool {
	if q[i].end != q[j].end {
		return q[i].end < q[j].end
	}
	return q[i].record.ID < q[j].record.ID
}

func (q streamQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a *job; it is for package heap only.
func (q *streamQueue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop removes the last job; it is for package heap only.
func (q *streamQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}
