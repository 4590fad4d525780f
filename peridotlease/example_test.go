package peridotlease_test

import (
	"fmt"
	"time"

	"peridotstack/peridotlease"
	"peridotstack/peridottable"
)

func Example() {
	now := time.Now()
	l := peridotlease.New("recife-a", "entry-1", "start-1", peridotlease.DefaultTerms)
	l.HandleRead(peridottable.Row{Key: peridotlease.RowKey("recife-a")}, now)
	txn, _ := l.NextCommit(now, 0)
	l.HandleCommitResult(1, nil, now.Add(10*time.Millisecond))
	grant, held := l.Grant(now.Add(time.Second))
	fmt.Println(txn.Puts[0].Key, held, grant.Token)
	// Output: lease/recife-a true 1
}
