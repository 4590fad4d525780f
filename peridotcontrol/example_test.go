package peridotcontrol_test

import (
	"fmt"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotcontrol"
)

func Example() {
	v := peridotcontrol.View{
		Domain: "recife-a",
		Config: &peridotconfig.Config{Deployments: []peridotconfig.Deployment{
			{Domain: "recife-a", Model: "hino-llm", Version: "v1", Replicas: 1},
		}},
	}
	for _, a := range peridotcontrol.NextActions(v, &peridotcontrol.LoadLimiter{}, time.Now()) {
		switch a := a.(type) {
		case peridotcontrol.OrderBackend:
			fmt.Println(a.Order.Kind, a.Order.Model)
		}
	}
	// Output: Add hino-llm
}
