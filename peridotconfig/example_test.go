package peridotconfig_test

import (
	"errors"
	"fmt"
	"time"

	"peridotstack/peridotconfig"
)

func ExampleFollower() {
	f := peridotconfig.NewFollower(1)
	f.SetReader(true)
	now := time.Unix(1000, 0)
	fmt.Printf("%T\n", f.Tick(now)[0])
	f.HandleCheckResult(now, 1, nil)
	fmt.Printf("%+v\n", f.Tick(now)[0])
	f.Adopt(&peridotconfig.Config{Seq: 1})
	f.HandleFetchResult(now, nil)
	fmt.Println(f.Fresh(now), f.Fresh(now.Add(4*time.Second)))

	now = now.Add(time.Second)
	f.Tick(now)
	f.HandleCheckResult(now, 0, errors.New("the table service is down"))
	f.HandleVersion("agent-1", 1, now)
	fmt.Println(f.Fresh(now.Add(3 * time.Second)))
	// Output:
	// peridotconfig.CheckHead
	// {Peer: After:0}
	// true false
	// true
}
