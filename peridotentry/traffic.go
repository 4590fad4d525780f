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
	// bytesPerToken is how long a token of a prompt is taken to be.
	bytesPerToken = 4
	// prefixBlock and maxPrefixBlocks say which beginnings of a body are looked
	// at for a cached prefix, in bytes and blocks.
	prefixBlock     = 1 << 10
	maxPrefixBlocks = 64
	// reportLag is how old an agent's count of its own requests may be.
	reportLag = 100 * time.Millisecond
	// maxQueue bounds the virtual queue of one account at one model.
	maxQueue = 2 * time.Second
)

// traffic puts the decisions on routing, admission and retries behind a lock
// and on the process's clock. It is safe for concurrent use.
type traffic struct {
	start  time.Time
	pool   *pool
	config func() *peridotconfig.Config

	mu     sync.Mutex
	router *peridotroute.Router
	policy *peridotretry.Policy
	// limits keeps the accounts' limits, which hold over all models; it knows no
	// capacity. models share out the capacity of one model each.
	limits *peridotadmit.Admitter
	models map[string]*peridotadmit.Admitter
	// change and known are the state of the pool and the configuration that the
	// decisions are made by.
	change uint64
	known  *peridotconfig.Config
}

func newTraffic(seed uint64, p *pool, config func() *peridotconfig.Config) *traffic {
	return &traffic{
		start:  time.Now(),
		pool:   p,
		config: config,
		router: peridotroute.New(seed, peridotroute.ReportLag(reportLag)),
		policy: peridotretry.New(seed),
		limits: peridotadmit.New(),
		models: make(map[string]*peridotadmit.Admitter),
	}
}

// now is the time since the start on the monotonic clock.
func (t *traffic) now() time.Duration {
	return time.Since(t.start)
}

// observe takes the load of an agent's backend server.
func (t *traffic) observe(instance string, l peridotwire.Load) {
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

// refresh follows the configuration and the list of backend servers. The mutex
// is held.
func (t *traffic) refresh(now time.Duration) {
	config, change := t.config(), t.pool.change()
	if t.known == config && t.change == change {
		return
	}
	if t.known != config {
		t.setAccounts(now, config)
	}
	t.known, t.change = config, change
	t.setServers(now, config)
}

// setAccounts follows the client accounts and models. The mutex is held.
func (t *traffic) setAccounts(now time.Duration, config *peridotconfig.Config) {
	t.limits.SetAccounts(now, accountsOf(config, true))
	list := accountsOf(config, false)
	for _, m := range config.Models {
		d := t.models[m.Name]
		if d == nil {
			d = peridotadmit.New(peridotadmit.MaxQueueDelay(maxQueue))
			t.models[m.Name] = d
		}
		d.SetAccounts(now, list)
	}
	for name := range t.models {
		if _, ok := config.Model(name); !ok {
			delete(t.models, name)
		}
	}
}

// setServers follows the backend servers and what they can do. The mutex is
// held.
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
	t.limits.SetLimitFraction(now, 1/float64(t.pool.entryCount()))
	for _, m := range config.Models {
		t.setCapacity(now, m, running[m.Name])
	}
}

// setCapacity tells the admitter of a model this entry's part of the capacity
// of the running engines, in output tokens a second.
func (t *traffic) setCapacity(now time.Duration, m peridotconfig.Model, running int) {
	d := t.models[m.Name]
	d.SetCapacity(now, float64(running)*m.DecodeTokensPerSecond*t.share(m.Name))
	if m.PrefillTokensPerSecond > 0 {
		d.SetPromptCost(now, m.DecodeTokensPerSecond/m.PrefillTokensPerSecond)
	}
}

// share returns this entry's part of a model's capacity: that of the requests
// under way which it has sent, but no less than an equal one.
func (t *traffic) share(model string) float64 {
	mine, total := t.router.Running(model, "")
	if total == 0 {
		return 1
	}
	return max(float64(mine)/float64(total), 1/float64(t.pool.entryCount()))
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

func accountsOf(config *peridotconfig.Config, limits bool) []peridotadmit.Account {
	list := make([]peridotadmit.Account, len(config.Accounts))
	for i, a := range config.Accounts {
		list[i] = peridotadmit.Account{Name: a.Name, Weight: a.Weight, Priority: a.Priority}
		if limits {
			list[i].TokensPerSecond = a.TokensPerSecond
		}
	}
	return list
}

// call is one request of a caller, which may take several tries.
type call struct {
	// id stays the same over all tries; run.RequestID names one of them.
	id  string
	run peridotwire.Run
	// prefixes holds the hashes of the body's beginnings.
	prefixes []uint64
}

func newCall(entry string, run peridotwire.Run) *call {
	c := &call{id: newRequestID(entry), run: run}
	if run.Model != "" {
		c.prefixes = prefixHashes(run.Body)
	}
	return c
}

// prefixHashes hashes the beginnings of a body that are whole blocks long, the
// longest last. Requests that begin alike have prompts that do.
func prefixHashes(body string) []uint64 {
	blocks := min(len(body)/prefixBlock, maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	var d xxhash.Digest
	d.Reset()
	for i := range hashes {
		d.WriteString(body[i*prefixBlock : (i+1)*prefixBlock]) // Writing to a Digest never fails.
		hashes[i] = d.Sum64()
	}
	return hashes
}

// admit chooses a backend server for a call, decides whether it may start and
// sets its priority. end must be called once an admitted call is over.
func (t *traffic) admit(c *call) (peridotroute.Choice, *peridotverdict.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.refresh(now)
	choice, err := t.router.Choose(now, t.request(c, nil))
	if err != nil {
		return choice, peridotverdict.As(err)
	}
	d := t.models[c.run.Model]
	if d == nil {
		return choice, nil
	}
	ask := peridotadmit.Request{
		Account:                  c.run.Account,
		PromptTokens:             promptTokens(&c.run),
		CachedTokens:             choice.CachedTokens,
		ExpectedOutput:           t.limits.ExpectedOutput(c.run.Account, c.run.MaxTokens),
		Timeout:                  time.Duration(c.run.TimeoutMillis) * time.Millisecond,
		TimeToFirstToken:         choice.Wait,
		TimeToLastToken:          choice.Finish,
		UnloadedTimeToFirstToken: choice.IdleWait,
	}
	if limited := t.limits.Admit(now, c.id, ask); !limited.Admitted {
		return choice, limited.Err
	}
	decision := d.Admit(now, c.id, ask)
	if !decision.Admitted {
		t.limits.Cancel(now, c.id)
		return choice, decision.Err
	}
	c.run.Priority = decision.Priority
	return choice, nil
}

// again chooses a backend server for a retry.
func (t *traffic) again(c *call, exclude []string) (peridotroute.Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.refresh(now)
	choice, err := t.router.Choose(now, t.request(c, exclude))
	if err == nil {
		t.policy.RecordRetry(now, c.run.Account, choice.Instance)
	}
	return choice, err
}

// request returns what the choice of a server depends on. Engines of every role
// do whole requests, for the agents cannot move a KV cache between them.
func (t *traffic) request(c *call, exclude []string) peridotroute.Request {
	return peridotroute.Request{
		ID:             c.run.RequestID,
		Model:          c.run.Model,
		Service:        c.run.Service,
		PromptTokens:   promptTokens(&c.run),
		MaxTokens:      c.run.MaxTokens,
		ExpectedOutput: t.limits.ExpectedOutput(c.run.Account, c.run.MaxTokens),
		PrefixHash:     c.prefixes,
		Deadline:       time.Duration(c.run.TimeoutMillis) * time.Millisecond,
		Exclude:        exclude,
	}
}

func promptTokens(run *peridotwire.Run) int {
	return len(run.Body)/bytesPerToken + 1
}

// sent records that a try goes out under the request id that the call has now.
func (t *traffic) sent(c *call, choice peridotroute.Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Sent(t.now(), t.request(c, nil), choice)
}

// progress records how many chunks of the answer to a try of a call have come.
func (t *traffic) progress(id string, try *peridotwire.Run, chunks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.router.Progress(now, try.RequestID, chunks)
	t.limits.Progress(now, id, chunks)
	if d := t.models[try.Model]; d != nil {
		d.Progress(now, id, chunks)
	}
}

// over records that a try has ended.
func (t *traffic) over(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Done(t.now(), requestID, 0)
}

// next decides what follows a try that failed.
func (t *traffic) next(a peridotretry.Attempt) peridotretry.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.Next(t.now(), a)
}

// usage is what a call really took.
type usage struct {
	prompt int
	output int
}

// end settles an admitted call. Of one that did not run, u is nil.
func (t *traffic) end(c *call, u *usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, d := range []*peridotadmit.Admitter{t.limits, t.models[c.run.Model]} {
		switch {
		case d == nil:
		case u == nil:
			d.Cancel(now, c.id)
		default:
			d.Done(now, c.id, u.prompt, u.output)
		}
	}
}

// succeeded pays into the retry budgets.
func (t *traffic) succeeded(account, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.RecordSuccess(t.now(), account, instance)
}
