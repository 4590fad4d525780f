// Command standins plays one case of the review: it starts the fronts of the project as
// processes, with small stand-ins for the platform, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// longest is the longest time of a case.
const longest = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(l *lab) (int, error){"added": playAdded, "crowd": playCrowd, "drain": playDrain, "leave": playLeave, "recover": playRecover}

func main() {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker())
		os.Exit(failed)
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE")
		os.Exit(failed)
	}
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	time.AfterFunc(longest, func() {
		l.record("the case took too long")
		l.close()
		os.Exit(failed)
	})
	code, err := cases[os.Args[1]](l)
	if err != nil {
		code = failed
		l.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	l.record("result: %d", code)
	l.close()
	os.Exit(code)
}
