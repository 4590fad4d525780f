package peridotmeasure_test

import (
	"fmt"

	"peridotstack/peridotmeasure"
)

func Example() {
	profile, err := peridotmeasure.FindProfile("quadro")
	if err != nil {
		panic(err)
	}
	scenario := peridotmeasure.Scenario{Name: "steady"}
	trace := peridotmeasure.Generate(profile, scenario, 1)
	results := peridotmeasure.RunAll(profile, scenario, trace, 1)
	for _, r := range results {
		fmt.Println(r.Policy, r.Settled == len(trace))
	}
	// Output:
	// round robin true
	// least outstanding true
	// router, static roles true
	// router, mixed roles true
	// router, no hysteresis true
	// peridotstack true
}
