package peridotentry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotadmit"
	"peridotstack/peridotconfig"
	"peridotstack/peridotretry"
	"peridotstack/peridotroute"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// bytesPerToken is the assumed length of a token of a prompt.
	bytesPerToken = 4
	// Prefixes of a body are looked up in the prefix cache at multiples of
	// prefixBlockBytes, up to maxPrefixBlocks blocks.
	prefixBlockBytes = 1 << 10
	maxPrefixBlocks  = 64
	// reportLag is the maximum age of a load report. Requests that were sent to the
	// agent within that time may be missing from the report.
	reportLag = 100 * time.Millisecond
	// maxQueueDelay bounds the time that the virtual queue of one account at one
	// model takes to drain.
	maxQueueDelay = 2 * time.Second
)

// traffic makes the routing, admission and retry decisions of the process. It
// guards the decision logic with a mutex and passes it the time since startedAt.
// It is safe for concurrent use.
type traffic struct {
	startedAt time.Time
	pool      *pool
	config    func() *peridotconfig.Config

	mu     sync.Mutex
	router *peridotroute.Router
	policy *peridotretry.Policy
	// accountLimits enforces the accounts' rate limits, which apply across all
	// models. It has no capacity limit. modelAdmitters divides the capacity of each
	// model among the accounts.
	accountLimits  *peridotadmit.Admitter
	modelAdmitters map[string]*peridotadmit.Admitter
	// appliedGeneration and appliedConfig are the generation of the pool and the
	// configuration that the decisions are currently based on.
	appliedGeneration uint64
	appliedConfig     *peridotconfig.Config
}

func newTraffic(seed uint64, p *pool, config func() *peridotconfig.Config) *traffic {
	return &traffic{
		startedAt:      time.Now(),
		pool:           p,
		config:         config,
		router:         peridotroute.New(seed, peridotroute.ReportLag(reportLag)),
		policy:         peridotretry.New(seed),
		accountLimits:  peridotadmit.New(),
		modelAdmitters: make(map[string]*peridotadmit.Admitter),
	}
}

// now returns the time since startedAt, on the monotonic clock.
func (t *traffic) now() time.Duration {
	return time.Since(t.startedAt)
}

// observeLoad passes the load of an agent's backend server to the router.
func (t *traffic) observeLoad(instance string, l peridotwire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.router.Observe(now, peridotroute.Report{
		Instance:      instance,
		At:            now,
		Running:       l.Running,
		Waiting:       l.Waiting,
		PrefillTokens: l.PrefillTokens,
		DecodeTokens:  l.DecodeTokens,
		FreeBlocks:    l.FreeBlocks,
	})
}

// refresh applies changes of the configuration and of the pool to the decision
// logic. The caller must hold mu.
func (t *traffic) refresh(now time.Duration) {
	config, generation := t.config(), t.pool.currentGeneration()
	if t.appliedConfig == config && t.appliedGeneration == generation {
		return
	}
	if t.appliedConfig != config {
		t.setAccounts(now, config)
	}
	t.appliedConfig, t.appliedGeneration = config, generation
	t.setServers(now, config)
}

// setAccounts applies the client accounts and models of a configuration. The
// caller must hold mu.
func (t *traffic) setAccounts(now time.Duration, config *peridotconfig.Config) {
	t.accountLimits.SetAccounts(now, accountsOf(config, true))
	list := accountsOf(config, false)
	for _, m := range config.Models {
		d := t.modelAdmitters[m.Name]
		if d == nil {
			d = peridotadmit.New(peridotadmit.MaxQueueDelay(maxQueueDelay))
			t.modelAdmitters[m.Name] = d
		}
		d.SetAccounts(now, list)
	}
	for name := range t.modelAdmitters {
		if _, ok := config.Model(name); !ok {
			delete(t.modelAdmitters, name)
		}
	}
}

// setServers applies the current backend servers and their throughput. The
// caller must hold mu.
func (t *traffic) setServers(now time.Duration, config *peridotconfig.Config) {
	list := t.pool.servers()
	running := make(map[string]int)
	for i := range list {
		s := &list[i]
		if m, ok := config.Model(s.Model); ok {
			s.PrefillTokensPerSecond = m.PrefillTokensPerSecond
			s.DecodeTokensPerSecond = m.DecodeTokensPerSecond
		}
		if !s.Leaving && !s.Down {
			running[s.Model]++
		}
	}
	t.router.SetServers(now, list)
	t.policy.RetainBudgets(namesOf(config.Accounts), instancesOf(list))
	t.accountLimits.SetLimitFraction(now, 1/float64(t.pool.entryCount()))
	for _, m := range config.Models {
		t.setCapacity(now, m, running[m.Name])
	}
}

// setCapacity sets the capacity of a model's admitter to this instance's share
// of the running engines, in output tokens per second. The caller must hold mu.
func (t *traffic) setCapacity(now time.Duration, m peridotconfig.Model, running int) {
	d := t.modelAdmitters[m.Name]
	d.SetCapacity(now, float64(running)*m.DecodeTokensPerSecond*t.capacityShare(m.Name))
	if m.PrefillTokensPerSecond > 0 {
		d.SetPromptCost(now, m.DecodeTokensPerSecond/m.PrefillTokensPerSecond)
	}
}

// capacityShare returns this instance's share of a model's capacity, from 0 to
// 1. It is the fraction of the model's running requests that this instance has
// sent, but at least an equal share among the entry instances. The caller must
// hold mu.
func (t *traffic) capacityShare(model string) float64 {
	own, total := t.router.Running(model, "")
	if total == 0 {
		return 1
	}
	return max(float64(own)/float64(total), 1/float64(t.pool.entryCount()))
}

func namesOf(accounts []peridotconfig.Account) []string {
	names := make([]string, len(accounts))
	for i, a := range accounts {
		names[i] = a.Name
	}
	return names
}

func instancesOf(list []peridotroute.Server) []string {
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = s.Instance
	}
	return names
}

// accountsOf returns the accounts of a configuration for an admitter, with their
// rate limits if withLimits is set.
func accountsOf(config *peridotconfig.Config, withLimits bool) []peridotadmit.Account {
	list := make([]peridotadmit.Account, len(config.Accounts))
	for i, a := range config.Accounts {
		list[i] = peridotadmit.Account{Name: a.Name, Weight: a.Weight, Priority: a.Priority}
		if withLimits {
			list[i].TokensPerSecond = a.TokensPerSecond
		}
	}
	return list
}

// call is one request of a caller. It may take several tries.
type call struct {
	// id is the same for all tries, while run.RequestID identifies the current try.
	id  string
	run peridotwire.Run
	// prefixes are the hashes of the body's prefixes, the longest last.
	prefixes []uint64
}

func newCall(entry string, run peridotwire.Run) *call {
	c := &call{id: newRequestID(entry), run: run}
	if run.Model != "" {
		c.prefixes = prefixHashes(run.Body)
	}
	return c
}

// prefixHashes returns the hashes of the prefixes of a body that are a whole
// number of blocks long, the longest last. If the bodies of two requests have a
// common prefix, so do their prompts.
func prefixHashes(body string) []uint64 {
	blocks := min(len(body)/prefixBlockBytes, maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	var d xxhash.Digest
	d.Reset()
	for i := range hashes {
		d.WriteString(body[i*prefixBlockBytes : (i+1)*prefixBlockBytes]) // Writing to a Digest never fails.
		hashes[i] = d.Sum64()
	}
	return hashes
}

// admit chooses a backend server for a call, decides whether the call may start
// and sets its priority. The caller must call settle once an admitted call has
// ended.
func (t *traffic) admit(c *call) (peridotroute.Choice, *peridotverdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.refresh(now)
	choice, err := t.router.Choose(now, t.routeRequest(c, nil))
	if err != nil {
		return choice, peridotverdict.As(err)
	}
	d := t.modelAdmitters[c.run.Model]
	if d == nil {
		return choice, nil
	}
	request := peridotadmit.Request{
		Account:                  c.run.Account,
		PromptTokens:             promptTokens(&c.run),
		CachedTokens:             choice.CachedTokens,
		ExpectedOutput:           t.accountLimits.ExpectedOutput(c.run.Account, c.run.MaxTokens),
		Timeout:                  time.Duration(c.run.TimeoutMillis) * time.Millisecond,
		TimeToFirstToken:         choice.Wait,
		TimeToLastToken:          choice.Finish,
		UnloadedTimeToFirstToken: choice.IdleWait,
	}
	if limitDecision := t.accountLimits.Admit(now, c.id, request); !limitDecision.Admitted {
		return choice, limitDecision.Err
	}
	decision := d.Admit(now, c.id, request)
	if !decision.Admitted {
		t.accountLimits.Cancel(now, c.id)
		return choice, decision.Err
	}
	c.run.Priority = decision.Priority
	return choice, nil
}

// chooseForRetry chooses a backend server for a retry, other than those in
// exclude.
func (t *traffic) chooseForRetry(c *call, exclude []string) (peridotroute.Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.refresh(now)
	choice, err := t.router.Choose(now, t.routeRequest(c, exclude))
	if err == nil {
		t.policy.RecordRetry(now, c.run.Account, choice.Instance)
	}
	return choice, err
}

// reserveRetry decides whether a try that is to be given up can be retried, and
// chooses a backend server for the retry. It returns false if there is no retry.
func (t *traffic) reserveRetry(c *call, a peridotretry.Attempt) (peridotroute.Choice, bool) {
	d := t.decideRetry(a)
	if !d.Retry {
		return peridotroute.Choice{}, false
	}
	choice, err := t.chooseForRetry(c, d.Exclude)
	return choice, err == nil
}

// routeRequest returns the properties of a call that the router needs. Neither
// requests nor servers have a role here, so engines of every role run complete
// requests: the agents cannot transfer a KV cache between engines.
func (t *traffic) routeRequest(c *call, exclude []string) peridotroute.Request {
	return peridotroute.Request{
		ID:             c.run.RequestID,
		Model:          c.run.Model,
		Service:        c.run.Service,
		PromptTokens:   promptTokens(&c.run),
		MaxTokens:      c.run.MaxTokens,
		ExpectedOutput: t.accountLimits.ExpectedOutput(c.run.Account, c.run.MaxTokens),
		PrefixHash:     c.prefixes,
		Timeout:        time.Duration(c.run.TimeoutMillis) * time.Millisecond,
		Exclude:        exclude,
	}
}

func promptTokens(run *peridotwire.Run) int {
	return len(run.Body)/bytesPerToken + 1
}

// recordSent records that a try is sent with the call's current request ID.
func (t *traffic) recordSent(c *call, choice peridotroute.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Begin(t.now(), t.routeRequest(c, nil), choice)
}

// recordProgress records the number of chunks received so far in a try of the
// call with the given ID.
func (t *traffic) recordProgress(id string, try *peridotwire.Run, chunks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.router.Progress(now, try.RequestID, chunks)
	t.accountLimits.Progress(now, id, chunks)
	if d := t.modelAdmitters[try.Model]; d != nil {
		d.Progress(now, id, chunks)
	}
}

// recordTryEnd records that a try has ended.
func (t *traffic) recordTryEnd(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Done(t.now(), requestID, 0)
}

// decideRetry decides whether a failed try is retried.
func (t *traffic) decideRetry(a peridotretry.Attempt) peridotretry.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.Next(t.now(), a)
}

// tokenCounts are the numbers of prompt and output tokens of a call.
type tokenCounts struct {
	prompt int
	output int
}

// settle charges an admitted call for the tokens that it used. If counts is nil,
// the call did not run and its charge is canceled.
func (t *traffic) settle(c *call, counts *tokenCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, d := range []*peridotadmit.Admitter{t.accountLimits, t.modelAdmitters[c.run.Model]} {
		switch {
		case d == nil:
		case counts == nil:
			d.Cancel(now, c.id)
		default:
			d.Done(now, c.id, counts.prompt, counts.output)
		}
	}
}

// recordSuccess adds to the retry budgets of the account and the instance.
func (t *traffic) recordSuccess(account, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.RecordSuccess(t.now(), account, instance)
}
