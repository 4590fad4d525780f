package peridotplanner_test

import (
	"fmt"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplanner"
)

func Example() {
	fleet := peridotplanner.Fleet{
		Models: []peridotplanner.Model{{
			Name:                   "hino-llm",
			PrefillTokensPerSecond: 8000,
			DecodeTokensPerSecond:  1600,
			ChangeTime:             8 * time.Second,
			DrainTime:              4 * time.Second,
		}},
		Engines: []peridotplanner.Engine{
			{ID: "e1", Domain: "recife-a", Model: "hino-llm", Role: peridotconfig.Prefill},
			{ID: "e2", Domain: "recife-b", Model: "hino-llm", Role: peridotconfig.Decode},
			{ID: "e3", Domain: "fortaleza-a", Model: "hino-llm", Role: peridotconfig.Decode},
			{ID: "e4", Domain: "salvador-a", Model: "hino-llm", Role: peridotconfig.Decode},
		},
	}
	planner := peridotplanner.New()
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		planner.RecordArrival(now, peridotplanner.Arrival{Model: "hino-llm", Domain: "recife-a", PrefillTokens: 14000, OutputTokens: 1400})
	}
	for _, action := range planner.Plan(time.Minute, fleet) {
		fmt.Printf("%+v\n", action)
	}
	// Output: {Engine:e2 Domain:recife-b From:Decode To:Prefill}
}
