package peridotusage_test

import (
	"fmt"

	"peridotstack/peridotusage"
)

// The agent and the entry instance both count the same request. The ledger counts
// it once, however often and in whatever order the parts arrive.
func ExampleLedger() {
	agent := peridotusage.Process{Instance: "engine-1", Incarnation: "5f"}
	entry := peridotusage.Process{Instance: "entry-1", Incarnation: "c2"}
	cell := peridotusage.Cell{Agent: agent, Window: 30_000_000, Account: "port-royal"}
	used := peridotusage.Figure{Requests: 1, PromptTokens: 70, OutputTokens: 16}

	ledger := peridotusage.NewLedger("kin-a")
	for range 2 {
		ledger.Merge([]peridotusage.Part{
			{Cell: cell, Counter: entry, Figure: used},
			{Cell: cell, Counter: agent, Figure: used},
		})
	}
	for _, line := range ledger.PrepareSeal(30_000_000).Sealed.Lines {
		fmt.Println(line.ID, line.Requests, line.PromptTokens, line.OutputTokens)
	}
	// Output:
	// kin-a/000030000000/port-royal 1 70 16
}
