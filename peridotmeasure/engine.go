package peridotmeasure

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotroute"
)

// engineState is the lifecycle state of an engine.
type engineState int

const (
	stateServing engineState = iota
	// stateDraining engines finish their requests before a role change or their
	// removal.
	stateDraining
	// stateChanging engines are unavailable during a role change.
	stateChanging
	// stateDown engines have failed and may recover.
	stateDown
	// stateProvisioning engines have been ordered but not yet delivered.
	stateProvisioning
	// stateRemoved engines have been returned to the platform.
	stateRemoved
)

// sharedTimeFraction is the fraction of an engine's time that prefill gets, and
// also that decode gets, while both run.
const sharedTimeFraction = 0.5

// engine is the fake of a model engine with continuous batching. All rates are
// constant between two of its ticks.
type engine struct {
	id     string
	domain string
	kind   EngineKind
	clock  *clock
	tally  *tally

	role        peridotconfig.Role
	state       engineState
	availableAt time.Duration
	// nextRole is the role after the change in progress.
	nextRole peridotconfig.Role
	// leaving is set while the engine drains before its removal.
	leaving bool
	// reservations counts the jobs that another engine prefills or whose KV cache
	// is being transferred, and that this engine will decode.
	reservations int

	// advancedTo is the time up to which the engine's work has been simulated.
	advancedTo time.Duration
	// generation changes with each scheduled tick. A callback of an earlier
	// generation does nothing, because the rates have changed since.
	generation        int
	prefillQueue      []*job
	prefilling        *job
	prefillTokensLeft float64
	decodeQueue       []*job
	streams           streamQueue
	// virtualTokens is the number of tokens that a stream would have by now if it
	// had run since the start of the simulation.
	virtualTokens float64
	usedBlocks    int
	cache         *prefixCache

	// onCacheEvent is called with the prefixes that the engine has cached or
	// evicted.
	onCacheEvent func(hashes []uint64, evicted bool)
	// onDrained is called once when a draining engine has become idle.
	onDrained func()
}

// job is one attempt of a model request on its engines.
type job struct {
	record   *Record
	prefixes []uint64
	priority int
	// prefillEngine and decodeEngine may be the same engine.
	prefillEngine, decodeEngine *engine
	// prefillTokens is the number of prompt tokens that were not cached.
	prefillTokens int
	// startToken and endToken are the values of the decode engine's virtualTokens
	// at which the stream starts and ends.
	startToken, endToken float64
	heapIndex            int
	ended                bool
	// hasReservation is set while decodeEngine counts the job in its reservations.
	hasReservation bool

	onPrefillDone func()
	onFirstToken  func()
	onDone        func()
	onFail        func()
}

// blocksFor returns the number of KV cache blocks that a request needs for its
// prompt and its longest possible output.
func (e *engine) blocksFor(r *Record) int {
	return (r.PromptTokens + r.MaxTokens + e.kind.BlockTokens - 1) / e.kind.BlockTokens
}

// rates returns the tokens per second of prefill and of each stream.
func (e *engine) rates() (prefill, stream float64) {
	share := 1.0
	if e.prefilling != nil && len(e.streams) > 0 {
		share = sharedTimeFraction * e.kind.Interference
	}
	if e.prefilling != nil {
		prefill = e.kind.PrefillTokensPerSecond * share
	}
	if n := len(e.streams); n > 0 {
		stream = share / e.kind.Step.Seconds() * min(1, float64(e.kind.Knee)/float64(n))
	}
	return prefill, stream
}

// advance simulates the work up to now.
func (e *engine) advance() {
	elapsed := (e.clock.now - e.advancedTo).Seconds()
	e.advancedTo = e.clock.now
	if elapsed <= 0 {
		return
	}
	prefill, stream := e.rates()
	e.prefillTokensLeft -= prefill * elapsed
	e.virtualTokens += stream * elapsed
	if stream > 0 {
		e.tally.recordGap(1/stream, stream*elapsed*float64(len(e.streams)))
	}
}

// tick simulates the work up to now, ends and starts jobs, and schedules the
// next tick.
func (e *engine) tick() {
	const epsilon = 1e-6
	e.advance()
	if e.prefilling != nil && e.prefillTokensLeft <= epsilon {
		e.finishPrefill()
	}
	for len(e.streams) > 0 && e.streams[0].endToken <= e.virtualTokens+epsilon {
		j := heap.Pop(&e.streams).(*job)
		e.freeBlocks(j)
		j.ended = true
		j.onDone()
	}
	e.startPrefill()
	e.startStreams()
	e.evictPrefixes()
	e.scheduleNextTick()
	if e.state == stateDraining && e.isIdle() && e.onDrained != nil {
		onDrained := e.onDrained
		e.onDrained = nil
		onDrained()
	}
}

func (e *engine) isIdle() bool {
	return e.reservations == 0 && e.prefilling == nil && len(e.prefillQueue) == 0 && len(e.decodeQueue) == 0 && len(e.streams) == 0
}

// scheduleNextTick schedules a tick for the end of the current prefill or of the
// first stream to end, whichever is earlier.
func (e *engine) scheduleNextTick() {
	e.generation++
	prefill, stream := e.rates()
	seconds := math.Inf(1)
	if prefill > 0 {
		seconds = e.prefillTokensLeft / prefill
	}
	if stream > 0 {
		seconds = min(seconds, (e.streams[0].endToken-e.virtualTokens)/stream)
	}
	if math.IsInf(seconds, 1) {
		return
	}
	generation := e.generation
	e.clock.after(time.Duration(math.Ceil(max(0, seconds)*float64(time.Second))), func() {
		if generation == e.generation {
			e.tick()
		}
	})
}

// enqueuePrefill queues a job for prefill.
func (e *engine) enqueuePrefill(j *job) {
	e.prefillQueue = insertByPriority(e.prefillQueue, j)
	e.tick()
}

// enqueueDecode queues a job whose prefill ran on another engine and whose KV
// cache has arrived.
func (e *engine) enqueueDecode(j *job) {
	e.decodeQueue = insertByPriority(e.decodeQueue, j)
	e.tick()
}

// insertByPriority inserts j after all jobs of the same or a higher priority.
func insertByPriority(list []*job, j *job) []*job {
	i := len(list)
	for i > 0 && list[i-1].priority < j.priority {
		i--
	}
	return slices.Insert(list, i, j)
}

func (e *engine) startPrefill() {
	if e.prefilling != nil || len(e.prefillQueue) == 0 {
		return
	}
	j := e.prefillQueue[0]
	if j.decodeEngine == e && !e.hasRoomFor(j) {
		return
	}
	e.prefillQueue = e.prefillQueue[1:]
	e.prefilling = j
	e.usedBlocks += e.blocksFor(j.record)
	j.prefillTokens = e.uncachedTokens(j)
	e.cache.use(j.prefixes)
	e.prefillTokensLeft = float64(j.prefillTokens)
}

// uncachedTokens returns the number of prompt tokens that are not cached. It is
// at least 1, because the last token is never cached.
func (e *engine) uncachedTokens(j *job) int {
	return max(1, j.record.PromptTokens-prefixTokens*e.cache.cachedCount(j.prefixes))
}

func (e *engine) hasRoomFor(j *job) bool {
	return len(e.streams) < e.kind.MaxStreams && e.usedBlocks+e.blocksFor(j.record) <= e.kind.Blocks
}

func (e *engine) finishPrefill() {
	j := e.prefilling
	e.prefilling = nil
	if added := e.cache.add(j.prefixes); len(added) > 0 {
		e.onCacheEvent(added, false)
	}
	if j.decodeEngine == e {
		e.startStream(j)
		return
	}
	e.freeBlocks(j)
	j.onPrefillDone()
}

func (e *engine) startStreams() {
	for len(e.decodeQueue) > 0 && e.hasRoomFor(e.decodeQueue[0]) {
		j := e.decodeQueue[0]
		e.decodeQueue = e.decodeQueue[1:]
		e.usedBlocks += e.blocksFor(j.record)
		e.startStream(j)
	}
}

func (e *engine) startStream(j *job) {
	j.startToken = e.virtualTokens
	j.endToken = e.virtualTokens + float64(j.record.OutputTokens)
	heap.Push(&e.streams, j)
	_, stream := e.rates()
	e.clock.after(time.Duration(float64(time.Second)/stream), func() {
		if !j.ended {
			j.onFirstToken()
		}
	})
}

func (e *engine) freeBlocks(j *job) {
	e.usedBlocks -= e.blocksFor(j.record)
}

// evictPrefixes evicts the prefixes that no longer fit into the blocks that the
// running jobs leave free.
func (e *engine) evictPrefixes() {
	maxPrefixes := (e.kind.Blocks - e.usedBlocks) * e.kind.BlockTokens / prefixTokens
	if evicted := e.cache.evictTo(maxPrefixes); len(evicted) > 0 {
		e.onCacheEvent(evicted, true)
	}
}

// generatedTokens returns the number of tokens that a stream has generated by
// now.
func (e *engine) generatedTokens(j *job) int {
	_, stream := e.rates()
	virtualTokens := e.virtualTokens + stream*(e.clock.now-e.advancedTo).Seconds()
	return int(min(virtualTokens, j.endToken) - j.startToken)
}

// cancelJob removes a job, queued or running, and frees its blocks.
func (e *engine) cancelJob(j *job) {
	e.advance()
	j.ended = true
	isJob := func(other *job) bool { return other == j }
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, isJob)
	e.decodeQueue = slices.DeleteFunc(e.decodeQueue, isJob)
	switch {
	case e.prefilling == j:
		e.prefilling = nil
		e.freeBlocks(j)
	case j.heapIndex < len(e.streams) && e.streams[j.heapIndex] == j:
		heap.Remove(&e.streams, j.heapIndex)
		e.freeBlocks(j)
	}
	e.tick()
}

// fail takes the engine down. All of its jobs fail, and it loses its cache.
func (e *engine) fail() {
	e.advance()
	lost := slices.Concat(e.prefillQueue, e.decodeQueue, e.streams)
	if e.prefilling != nil {
		lost = append(lost, e.prefilling)
	}
	e.prefillQueue, e.decodeQueue, e.streams, e.prefilling = nil, nil, nil, nil
	e.usedBlocks = 0
	e.cache = newPrefixCache()
	e.state = stateDown
	e.leaving = false
	e.onDrained = nil
	e.generation++
	for _, j := range lost {
		j.ended = true
		j.onFail()
	}
}

// loadReport returns the load that the engine reports.
func (e *engine) loadReport() peridotroute.Report {
	e.advance()
	r := peridotroute.Report{Instance: e.id, Running: len(e.streams), Waiting: len(e.prefillQueue) + len(e.decodeQueue)}
	for _, j := range e.prefillQueue {
		r.PrefillTokens += e.uncachedTokens(j)
	}
	if e.prefilling != nil {
		r.Running++
		r.PrefillTokens += int(e.prefillTokensLeft)
	}
	for _, j := range e.decodeQueue {
		r.DecodeTokens += j.record.MaxTokens
	}
	for _, j := range e.streams {
		r.DecodeTokens += j.record.MaxTokens - int(e.virtualTokens-j.startToken)
	}
	r.FreeBlocks = e.kind.Blocks - e.usedBlocks
	return r
}

// streamQueue is a heap of streams, ordered by their ends.
type streamQueue []*job

func (q streamQueue) Len() int { return len(q) }

func (q streamQueue) Less(i, j int) bool {
	if q[i].endToken != q[j].endToken {
		return q[i].endToken < q[j].endToken
	}
	return q[i].record.ID < q[j].record.ID
}

func (q streamQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push adds a *job; it is for package heap only.
func (q *streamQueue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*q)
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
