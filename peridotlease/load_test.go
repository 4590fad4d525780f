package peridotlease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotstack/peridottable"
)

// storeLoad returns the commits and reads of five simulated minutes. It drives
// the managers turn by turn with a clock of its own.
func storeLoad(shards, instances int) (commits, reads int) {
	table := &peridottable.Faulty{Store: &peridottable.Memory{}}
	now := time.Now()
	clock := func() time.Time { return now }
	var names, shardNames []string
	for i := range instances {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for i := range shards {
		shardNames = append(shardNames, fmt.Sprintf("domain-%d", i))
	}
	r := rand.New(rand.NewPCG(1, 1))
	var managers []*Manager
	for _, name := range names {
		m := NewManager(table, name, name, WithClock(clock))
		m.SetShards(shardNames)
		m.SetInstances(names)
		managers = append(managers, m)
	}
	// The first two minutes settle who holds what.
	drive(managers, &now, r, 2*time.Minute)
	commitsBefore, readsBefore := table.Counts()
	drive(managers, &now, r, 5*time.Minute)
	commits, reads = table.Counts()
	return commits - commitsBefore, reads - readsBefore
}

func drive(managers []*Manager, now *time.Time, r *rand.Rand, d time.Duration) {
	for end := now.Add(d); now.Before(end); *now = now.Add(step) {
		for _, i := range r.Perm(len(managers)) {
			managers[i].turn(context.Background())
		}
	}
}
