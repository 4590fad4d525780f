package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxProcsEnv limits each entry and agent process to two cores, so that one of
	// each fits on four cores.
	maxProcsEnv    = "GOMAXPROCS=2"
	latencySamples = 2000
	loadWorkers    = 64
	loadRequests   = 50_000
	streamCount    = 50
	streamTokens   = 500
	idleDuration   = 10 * time.Second
	// tokenIntervalMillis is the time between two tokens of a slow stream.
	tokenIntervalMillis = 10
	// clockTicksPerSecond is USER_HZ of Linux: /proc gives CPU time in units of
	// 1/USER_HZ seconds.
	clockTicksPerSecond = 100
)

// BenchmarkPath compares requests through an entry and an agent with requests
// sent directly to the stand-in engine, in the same run. It also reports memory
// and CPU use of the entry and the agent.
func BenchmarkPath(b *testing.B) {
	c := startCluster(b, 1, false)
	for b.Loop() {
		c.measureLatency(b)
		c.measureLoad(b)
		c.measureTokens(b)
	}
	b.ReportMetric(c.peakResidentMB(c.entries[0].Cmd), "entry-MB")
	b.ReportMetric(c.peakResidentMB(c.agent), "agent-MB")
	c.measureIdle(b)
}

// measureLatency sends requests directly and through the entry in turn, and
// compares the medians of the time to first byte.
func (c *testCluster) measureLatency(b *testing.B) {
	var direct, viaEntry []time.Duration
	for range latencySamples {
		direct = append(direct, c.timeToFirstByte(c.engineAddress, ""))
		viaEntry = append(viaEntry, c.timeToFirstByte(c.entries[0].callerAddress, c.accountKey))
	}
	slices.Sort(direct)
	slices.Sort(viaEntry)
	median := latencySamples / 2
	b.ReportMetric(direct[median].Seconds()*1e6, "direct-µs")
	b.ReportMetric(viaEntry[median].Seconds()*1e6, "through-µs")
	b.ReportMetric((viaEntry[median]-direct[median]).Seconds()*1e6, "added-µs")
}

func (c *testCluster) timeToFirstByte(address, key string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completionBody("m", 1, true)))
	c.check(err)
	request.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	c.check(err)
	defer response.Body.Close()
	var first [1]byte
	_, err = io.ReadFull(response.Body, first[:])
	c.check(err)
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, response.Body)
	c.check(err)
	return elapsed
}

// measureLoad sends short requests from several workers at the same time. It
// reports the throughput, the failures and the CPU time per request.
func (c *testCluster) measureLoad(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers}}
	var sent, failed atomic.Int64
	var workers sync.WaitGroup
	entryBefore, agentBefore := c.cpuSeconds(c.entries[0].Cmd), c.cpuSeconds(c.agent)
	start := time.Now()
	for range loadWorkers {
		workers.Go(func() {
			for sent.Add(1) <= loadRequests {
				status, err := c.post(client, "http://"+c.entries[0].callerAddress+"/v1/completions", completionBody("m", 1, false), c.accountKey)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	elapsed := time.Since(start).Seconds()
	b.ReportMetric(loadRequests/elapsed, "requests/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric((c.cpuSeconds(c.entries[0].Cmd)-entryBefore)/loadRequests*1e6, "entry-cpu-µs/request")
	b.ReportMetric((c.cpuSeconds(c.agent)-agentBefore)/loadRequests*1e6, "agent-cpu-µs/request")
}

// measureTokens runs concurrent streams whose tokens arrive one by one. It
// reports the failures and the CPU time per token.
func (c *testCluster) measureTokens(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}
	var streams sync.WaitGroup
	var failed atomic.Int64
	entryBefore, agentBefore := c.cpuSeconds(c.entries[0].Cmd), c.cpuSeconds(c.slowAgent)
	for range streamCount {
		streams.Go(func() {
			status, err := c.post(client, "http://"+c.entries[0].callerAddress+"/v1/completions", completionBody("slow", streamTokens, true), c.accountKey)
			if err != nil || status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	streams.Wait()
	const tokens = streamCount * streamTokens
	b.ReportMetric(float64(failed.Load()), "failed-streams")
	b.ReportMetric((c.cpuSeconds(c.entries[0].Cmd)-entryBefore)/tokens*1e6, "entry-cpu-µs/token")
	b.ReportMetric((c.cpuSeconds(c.slowAgent)-agentBefore)/tokens*1e6, "agent-cpu-µs/token")
}

// measureIdle reports the share of a core that the entry and the agent use
// without requests.
func (c *testCluster) measureIdle(b *testing.B) {
	entry, agent := c.cpuSeconds(c.entries[0].Cmd), c.cpuSeconds(c.agent)
	time.Sleep(idleDuration)
	share := 100 / idleDuration.Seconds()
	b.ReportMetric((c.cpuSeconds(c.entries[0].Cmd)-entry)*share, "entry-idle-%core")
	b.ReportMetric((c.cpuSeconds(c.agent)-agent)*share, "agent-idle-%core")
}

// peakResidentMB returns the peak resident memory of a process in MiB.
func (c *testCluster) peakResidentMB(command *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	c.check(err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	c.check(err)
	return float64(kilobytes) / 1024
}

// cpuSeconds returns the CPU time that a process has used.
func (c *testCluster) cpuSeconds(command *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	c.check(err)
	// Of the fields after the command name in parentheses, user and system time
	// are the twelfth and the thirteenth.
	fields := strings.Fields(string(text)[strings.LastIndex(string(text), ")")+1:])
	user, err := strconv.Atoi(fields[11])
	c.check(err)
	system, err := strconv.Atoi(fields[12])
	c.check(err)
	return float64(user+system) / clockTicksPerSecond
}
