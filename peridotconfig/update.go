package peridotconfig

// maxRecentCommits limits the number of commits that a process keeps for its peers.
const maxRecentCommits = 512

// Update brings an older configuration up to date.
type Update struct {
	// Whole is a whole configuration. It is nil if Commits are enough.
	Whole *Config `json:",omitempty"`
	// Commits are the commits to apply, to Whole if that is set.
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

// RecentCommits holds the most recent commits that a process has applied, without a
// gap in their numbers. The zero value is empty. It is not safe for concurrent use.
type RecentCommits struct {
	commits []Commit
}

// Add appends commits and ignores those that r already has. If there is a gap
// before a commit, as after an update with a whole configuration, Add first deletes
// the commits before the gap.
func (r *RecentCommits) Add(commits ...Commit) {
	for _, c := range commits {
		last := r.lastSeq()
		if last > 0 && c.Seq <= last {
			continue
		}
		if c.Seq != last+1 {
			r.commits = nil
		}
		r.commits = append(r.commits, c)
	}
	if extra := len(r.commits) - maxRecentCommits; extra > 0 {
		r.commits = append([]Commit(nil), r.commits[extra:]...)
	}
}

// lastSeq returns the number of the last commit, or 0 if there is none.
func (r *RecentCommits) lastSeq() int64 {
	if len(r.commits) == 0 {
		return 0
	}
	return r.commits[len(r.commits)-1].Seq
}

// UpdateSince returns the update for a peer that has applied the commits up to seq;
// c is the current configuration of this process. The update contains the whole of c
// if r lacks some of the commits after seq.
func (r *RecentCommits) UpdateSince(c *Config, seq int64) Update {
	if seq >= c.Seq {
		return Update{}
	}
	if r.lastSeq() != c.Seq || r.commits[0].Seq > seq+1 {
		return Update{Whole: c}
	}
	return Update{Commits: r.commits[seq+1-r.commits[0].Seq:]}
}
