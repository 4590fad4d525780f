package peridotorder_test

import (
	"fmt"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotorder"
	"peridotstack/peridotwire"
)

func Example() {
	start := time.Now()
	now := start.Add(time.Minute)
	g := peridotorder.NewGate("start-1", start)
	ticket := g.IssueTicket(7, now)
	g.BeginOrder()
	g.ConfirmToken(7)
	g.RecordState(peridotbackend.State{Model: "hino-llm", Version: "v1", Role: "Mixed"}, now)
	g.RecordQuiesced()
	o := peridotwire.Order{ID: "x", Token: 7, Ticket: ticket, Kind: peridotwire.SetRole, Role: "Decode", TimeoutMillis: 1000}
	fmt.Printf("%T\n", g.NextStep(o, now.Add(time.Second)))
	fmt.Printf("%T\n", g.NextStep(o, now))
	// Output:
	// peridotorder.Refuse
	// peridotorder.Send
}
