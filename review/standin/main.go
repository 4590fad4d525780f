// Command standin plays the cases of the review: it is the clients, the workers and the
// platform, and it starts fronts of the project as processes.
//
//	standin CASE FOLDER ROOT
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could
// not run. The variable TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// bench holds what every case needs.
type bench struct {
	record  *record
	store   *store
	runs    *runs
	root    string
	folder  string
	trouble bool
	fronts  []*front
	ready   map[*front]string
}

var cases = map[string]func(b *bench) (broken bool, err error){
	"last-tenant": lastTenant, "uploads": uploads, "channels": channels, "stream-ids": streamIDs, "early-streams": earlyStreams,
	"added-routes": addedRoutes, "leaving-workers": leavingWorkers, "moved-streams": movedStreams, "plain-streams": plainStreamsWhole,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER ROOT")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(one func(b *bench) (bool, error), folder, root string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bench{record: rec, runs: &runs{}, root: root, trouble: os.Getenv("TROUBLE") != "0", ready: make(map[*front]string)}
	if b.folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(b.folder)
	defer b.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		if b.store, err = newStore(rec); err != nil {
			rec.add("the case could not run: %v", err)
			done <- 2
			return
		}
		broken, err := one(b)
		switch {
		case err != nil:
			rec.add("the case could not run: %v", err)
			done <- 2
		case broken:
			rec.add("result: the rule was broken")
			done <- 1
		default:
			rec.add("result: the rule held")
			done <- 0
		}
	}()
	select {
	case code := <-done:
		return code
	case <-signals:
		rec.add("interrupted")
	case <-time.After(115 * time.Second):
		rec.add("the case could not run: it takes too long")
	}
	return 2
}

func (b *bench) stop() {
	for _, f := range b.fronts {
		f.kill()
		f.log.Close()
	}
}

// settle waits until the fronts count as in touch: contact-ms after their start.
func (b *bench) settle() {
	time.Sleep(contactTime)
	b.record.add("the fronts are in touch")
}

// contactTime is contact-ms of the settings, and some more.
const contactTime = 3500 * time.Millisecond

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addFront starts a front with a loopback address of its own, since the port of its metrics
// is the same at all machines, and waits until it is ready.
func (b *bench) addFront(name, storeAddress string, graceSeconds int) (*front, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%200, 1+len(b.fronts))
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	ports[2] = min(ports[2], 65000)
	f, err := newFront(b.folder, name, ip, ports, storeAddress, graceSeconds)
	if err != nil {
		return nil, err
	}
	if err := f.startProcess(b.root); err != nil {
		return nil, err
	}
	b.fronts = append(b.fronts, f)
	b.ready[f] = fmt.Sprintf("%s:%d", ip, ports[1])
	b.record.add("front %s starts at %s (process %d)", name, f.address(), f.command.Process.Pid)
	if err := f.awaitReady(b.ready[f], 20*time.Second); err != nil {
		return nil, err
	}
	b.record.add("front %s is ready", name)
	return f, nil
}
