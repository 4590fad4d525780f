package peridotconfig

// maxRecent bounds the commits that a process keeps for its peers.
const maxRecent = 512

// Update is what a process hands to a peer that is behind: the commits that the
// peer lacks, or a whole configuration when it lacks too many.
type Update struct {
	Whole   *Config `json:",omitempty"`
	Commits []Commit
}

// Apply returns base with the update applied. It never returns a configuration
// older than base.
func (u Update) Apply(base *Config) (*Config, error) {
	if u.Whole != nil && u.Whole.Seq > base.Seq {
		base = u.Whole
	}
	return Replay(base, u.Commits)
}

// Recent keeps the last commits without a gap, up to the configuration in force.
// The zero value is empty. It is not safe for concurrent use.
type Recent struct {
	commits []Commit
}

// Add appends the commits that follow the last one kept. A gap, as after taking a
// whole configuration, drops what was kept before.
func (r *Recent) Add(commits ...Commit) {
	for _, c := range commits {
		last := r.last()
		if last > 0 && c.Seq <= last {
			continue
		}
		if c.Seq != last+1 {
			r.commits = nil
		}
		r.commits = append(r.commits, c)
	}
	if extra := len(r.commits) - maxRecent; extra > 0 {
		r.commits = append([]Commit(nil), r.commits[extra:]...)
	}
}

func (r *Recent) last() int64 {
	if len(r.commits) == 0 {
		return 0
	}
	return r.commits[len(r.commits)-1].Seq
}

// Since returns what a peer at the given number lacks of c, the configuration in
// force here.
func (r *Recent) Since(c *Config, seq int64) Update {
	if seq >= c.Seq {
		return Update{}
	}
	if r.last() != c.Seq || r.commits[0].Seq > seq+1 {
		return Update{Whole: c}
	}
	return Update{Commits: r.commits[seq+1-r.commits[0].Seq:]}
}
