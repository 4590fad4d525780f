package peridotfront

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotquota"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// maxQuotaPerDatagram limits the accounts in one datagram. One takes about 20 bytes.
	maxQuotaPerDatagram = 48
	// quotaForgetTime is how long another front that is silent is remembered.
	quotaForgetTime = peerForgetTimeout
)

// quotaUsage is the encoded form of a peridotquota.Usage.
type quotaUsage struct {
	_       struct{} `cbor:",toarray"`
	Account uint32
	Total   float64
	Demand  float32
}

// quota counts what client accounts use against their limits. Front.mu guards it.
type quota struct {
	table *peridotquota.Table
	// start identifies this run of the process.
	start uint64
	// names contains the accounts with a limit by accountHash.
	names map[uint32]string
	// strict contains the accounts that were below their reserve at their last request.
	strict map[string]bool
}

func newQuota(tolerance peridotquota.Tolerance) *quota {
	return &quota{table: peridotquota.NewTable(tolerance), start: rand.Uint64() | 1, names: make(map[uint32]string), strict: make(map[string]bool)}
}

// accountHash returns the hash that identifies a client account in datagrams.
func accountHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// setLimits applies the limits of a configuration.
func (q *quota) setLimits(now time.Duration, c *peridotsite.Config) {
	limits := make(map[string]peridotquota.Limit)
	clear(q.names)
	for _, a := range c.Accounts {
		if l := c.LimitOf(a.Name); l.Rate > 0 {
			limits[a.Name] = peridotquota.Limit{Rate: l.Rate, Burst: l.Burst}
			q.names[accountHash(a.Name)] = a.Name
		}
	}
	q.table.SetLimits(now, limits)
}

// addReport adds to a message what the other fronts have to know.
func (q *quota) addReport(now time.Duration, m *message, announce bool) {
	if !q.table.HasLimits() {
		return
	}
	q.table.Forget(now, quotaForgetTime)
	m.QuotaStart = q.start
	r := q.table.Report(now, q.start, maxQuotaPerDatagram, announce)
	for _, u := range r.Usages {
		m.Quota = append(m.Quota, quotaUsage{Account: accountHash(u.Account), Total: u.Total, Demand: float32(u.Demand)})
		if r.HasLevels {
			m.QuotaLevels = append(m.QuotaLevels, float32(u.Level))
		}
	}
}

// handleReport applies what another front tells.
func (q *quota) handleReport(now time.Duration, m *message) {
	if m.QuotaStart == 0 || !q.table.HasLimits() {
		return
	}
	r := peridotquota.Report{Start: m.QuotaStart, HasLevels: len(m.QuotaLevels) > 0 && len(m.QuotaLevels) == len(m.Quota)}
	for i, u := range m.Quota {
		name, ok := q.names[u.Account]
		if !ok {
			continue
		}
		usage := peridotquota.Usage{Account: name, Total: u.Total, Demand: float64(u.Demand)}
		if r.HasLevels {
			usage.Level = float64(m.QuotaLevels[i])
		}
		r.Usages = append(r.Usages, usage)
	}
	q.table.Observe(now, m.From, r)
}

// quotaCostOf returns what a request counts as against a limit.
func quotaCostOf(l peridotsite.AccountLimit, c Call) float64 {
	switch tokens := float64(max(0, c.PromptTokens)) + float64(max(0, c.MaxTokens)); {
	case !l.InTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return l.RawTokens
}

// takeQuota counts the request against the limit of its client account. It returns an error
// if the account has used its limit up.
func (x *exchange) takeQuota() *peridotverdict.Error {
	limit := x.config.LimitOf(x.account)
	if x.account == "" || limit.Rate <= 0 {
		return nil
	}
	f, cost := x.front, quotaCostOf(limit, x.call)
	f.mu.Lock()
	now := f.now()
	ok, retryAfter := f.quota.table.Take(now, x.account, cost)
	state, _ := f.quota.table.State(now, x.account)
	hasChanged := f.quota.strict[x.account] != state.IsStrict
	f.quota.strict[x.account] = state.IsStrict
	f.mu.Unlock()
	if hasChanged {
		log.WithFields(log.Fields{"account": x.account, "strict": state.IsStrict, "level": state.Level, "rate": limit.Rate, "burst": limit.Burst}).Info(logPrefix + "client account crossed the reserve of its limit")
	}
	if ok {
		x.quotaCost, x.quotaTakenAt = cost, now
		return nil
	}
	f.metrics.Count("quota_refusals")
	x.logFields["quota_cost"], x.logFields["quota_level"] = cost, state.Level
	return peridotverdict.New(peridotverdict.AccountLimit, peridotverdict.NotRun, "the client account has used up its limit", peridotverdict.RetryAfter(retryAfter))
}

// returnQuota takes back what takeQuota counted if the request did not reach a server that
// may have run it.
func (x *exchange) returnQuota() {
	if x.quotaCost == 0 || x.runs > 0 || x.prefillAccepted {
		return
	}
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quota.table.Return(f.now(), x.account, x.quotaCost, x.quotaTakenAt)
}
