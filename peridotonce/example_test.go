package peridotonce_test

import (
	"context"
	"fmt"
	"time"

	"peridotstack/peridotonce"
	"peridotstack/peridottable"
)

func ExampleKeeper() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	self := peridotonce.Process{Instance: "agent-1", Incarnation: "5f"}
	keeper := peridotonce.NewKeeper(&peridottable.Memory{}, self, peridotonce.Options{})
	go keeper.Serve(ctx)
	for _, id := range []string{"first", "second"} {
		reply := keeper.Claim(ctx, peridotonce.Request{
			RequestID: id, Account: "matriz-recife", Service: "quadro-api", Key: "push-1",
			Fingerprint: peridotonce.Fingerprint("POST", "/push", "", "", "hymn 42"), Timeout: time.Minute,
		})
		if reply.MustRun {
			fmt.Println(id, "runs")
			keeper.RecordOutcome(id, peridotonce.Outcome{Status: 200, Body: "pushed"})
			continue
		}
		fmt.Println(id, "gets", reply.Outcome.Body)
	}
	// Output:
	// first runs
	// second gets pushed
}
