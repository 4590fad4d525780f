package peridotlease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotstack/peridottable"
)

// storeLoad returns the number of commits and reads of the table service in five
// simulated minutes. It polls the managers in turn on a simulated clock.
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
	random := rand.New(rand.NewPCG(1, 1))
	var managers []*Manager
	for _, name := range names {
		m := NewManager(table, name, name, WithClock(clock))
		m.SetShards(shardNames)
		m.SetInstances(names)
		managers = append(managers, m)
	}
	// The managers distribute the leases within the first two minutes, which are not
	// counted.
	pollManagers(managers, &now, random, 2*time.Minute)
	commitsBefore, readsBefore := table.Counts()
	pollManagers(managers, &now, random, 5*time.Minute)
	commits, reads = table.Counts()
	return commits - commitsBefore, reads - readsBefore
}

// pollManagers polls all managers in random order once per pollInterval, for a
// duration on the simulated clock now.
func pollManagers(managers []*Manager, now *time.Time, random *rand.Rand, duration time.Duration) {
	for end := now.Add(duration); now.Before(end); *now = now.Add(pollInterval) {
		for _, i := range random.Perm(len(managers)) {
			managers[i].poll(context.Background())
		}
	}
}
