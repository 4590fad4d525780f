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
	// coresPerRole keeps the entry and the agent together on four cores.
	coresPerRole   = "GOMAXPROCS=2"
	latencySamples = 2000
	loadWorkers    = 64
	loadRequests   = 50_000
	streamCount    = 50
	streamTokens   = 500
	idleTime       = 10 * time.Second
	// tokenIntervalMillis is the time between two tokens of a slow stream.
	tokenIntervalMillis = 10
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
)

// BenchmarkPath compares a request through an entry and an agent with one that
// goes to the engine's stand-in directly, in one run.
func BenchmarkPath(b *testing.B) {
	p := startProcesses(b, 1, false)
	for b.Loop() {
		p.measureLatency(b)
		p.measureLoad(b)
		p.measureTokens(b)
	}
	b.ReportMetric(p.residentMB(p.entries[0].Cmd), "entry-MB")
	b.ReportMetric(p.residentMB(p.agent), "agent-MB")
	p.measureIdle(b)
}

// measureLatency alternates between both ways and compares the medians of the
// time to the first byte.
func (p *processes) measureLatency(b *testing.B) {
	var direct, through []time.Duration
	for range latencySamples {
		direct = append(direct, p.firstByte(p.engine, ""))
		through = append(through, p.firstByte(p.entries[0].caller, p.key))
	}
	slices.Sort(direct)
	slices.Sort(through)
	middle := latencySamples / 2
	b.ReportMetric(direct[middle].Seconds()*1e6, "direct-µs")
	b.ReportMetric(through[middle].Seconds()*1e6, "through-µs")
	b.ReportMetric((through[middle]-direct[middle]).Seconds()*1e6, "added-µs")
}

func (p *processes) firstByte(address, key string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completionBody("m", 1, true)))
	p.check(err)
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	p.check(err)
	defer response.Body.Close()
	var first [1]byte
	_, err = io.ReadFull(response.Body, first[:])
	p.check(err)
	took := time.Since(began)
	_, err = io.Copy(io.Discard, response.Body)
	p.check(err)
	return took
}

// measureLoad sends short requests from several workers.
func (p *processes) measureLoad(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers}}
	var sent, failed atomic.Int64
	var workers sync.WaitGroup
	entryBefore, agentBefore := p.processorSeconds(p.entries[0].Cmd), p.processorSeconds(p.agent)
	began := time.Now()
	for range loadWorkers {
		workers.Go(func() {
			for sent.Add(1) <= loadRequests {
				status, err := p.post(client, "http://"+p.entries[0].caller+"/v1/completions", completionBody("m", 1, false), p.key)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	took := time.Since(began).Seconds()
	b.ReportMetric(loadRequests/took, "requests/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric((p.processorSeconds(p.entries[0].Cmd)-entryBefore)/loadRequests*1e6, "entry-cpu-µs/request")
	b.ReportMetric((p.processorSeconds(p.agent)-agentBefore)/loadRequests*1e6, "agent-cpu-µs/request")
}

// measureTokens runs streams side by side whose tokens come one by one.
func (p *processes) measureTokens(b *testing.B) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}
	var streams sync.WaitGroup
	var failed atomic.Int64
	entryBefore, agentBefore := p.processorSeconds(p.entries[0].Cmd), p.processorSeconds(p.slowAgent)
	for range streamCount {
		streams.Go(func() {
			status, err := p.post(client, "http://"+p.entries[0].caller+"/v1/completions", completionBody("slow", streamTokens, true), p.key)
			if err != nil || status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	streams.Wait()
	const tokens = streamCount * streamTokens
	b.ReportMetric(float64(failed.Load()), "failed-streams")
	b.ReportMetric((p.processorSeconds(p.entries[0].Cmd)-entryBefore)/tokens*1e6, "entry-cpu-µs/token")
	b.ReportMetric((p.processorSeconds(p.slowAgent)-agentBefore)/tokens*1e6, "agent-cpu-µs/token")
}

// measureIdle reports the share of a core that each role spends on control
// alone.
func (p *processes) measureIdle(b *testing.B) {
	entry, agent := p.processorSeconds(p.entries[0].Cmd), p.processorSeconds(p.agent)
	time.Sleep(idleTime)
	share := 100 / idleTime.Seconds()
	b.ReportMetric((p.processorSeconds(p.entries[0].Cmd)-entry)*share, "entry-idle-%core")
	b.ReportMetric((p.processorSeconds(p.agent)-agent)*share, "agent-idle-%core")
}

// residentMB returns the largest resident memory of a process so far.
func (p *processes) residentMB(command *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	p.check(err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	p.check(err)
	return float64(kilobytes) / 1024
}

// processorSeconds returns the processor time a process has used.
func (p *processes) processorSeconds(command *exec.Cmd) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	p.check(err)
	// The fields behind the name in parentheses: user and system time are the
	// twelfth and thirteenth.
	fields := strings.Fields(string(text)[strings.LastIndex(string(text), ")")+1:])
	user, err := strconv.Atoi(fields[11])
	p.check(err)
	system, err := strconv.Atoi(fields[12])
	p.check(err)
	return float64(user+system) / ticksPerSecond
}
