package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotstandin"
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

// processes are the roles and stand-ins as processes of their own.
type processes struct {
	b       *testing.B
	folder  string
	started int
	program string
	engine  string
	caller  string
	key     string
	entry   *exec.Cmd
	agent   *exec.Cmd
	// slowAgent stands beside an engine that takes its time for each token.
	slowAgent *exec.Cmd
}

// BenchmarkPath compares a request through an entry and an agent with one that
// goes to the engine's stand-in directly, in one run.
func BenchmarkPath(b *testing.B) {
	p := startProcesses(b)
	for b.Loop() {
		p.measureLatency()
		p.measureLoad()
		p.measureTokens()
	}
	b.ReportMetric(p.residentMB(p.entry), "entry-MB")
	b.ReportMetric(p.residentMB(p.agent), "agent-MB")
	p.measureIdle()
}

func startProcesses(b *testing.B) *processes {
	p := &processes{b: b, folder: b.TempDir()}
	p.program = filepath.Join(p.folder, "peridot")
	p.check(os.Symlink(os.Args[0], p.program))
	platform, engine, peer := p.address(), p.address(), p.address()
	slowEngine, slowPeer := p.address(), p.address()
	caller, operator := p.address(), p.address()
	p.engine, p.caller = engine, caller
	p.start("standin-platform", fmt.Sprintf(`{"Address":%q,"Instances":[{"ID":"a","Role":"Agent","Domain":"d","Address":%q,"Model":"m"},{"ID":"s","Role":"Agent","Domain":"d","Address":%q,"Model":"slow"},{"ID":"e","Role":"Entry","Domain":"d","Address":%q}]}`, platform, peer, slowPeer, caller))
	p.start("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"m","Version":"v1"}`, engine))
	p.start("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"slow","Version":"v1","TokenIntervalMillis":%d}`, slowEngine, tokenIntervalMillis))
	p.await("http://"+platform+"/instances", "{}", "")
	p.write("first.json", `[{"PutDomain":{"Domain":{"Name":"d"}}},{"PutModel":{"Model":{"Name":"m","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},{"PutModel":{"Model":{"Name":"slow","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},{"PutAccount":{"Account":{"Name":"c","Weight":1}}}]`)
	operatorKey := p.run("", "init", "--platform-at", platform, filepath.Join(p.folder, "first.json"))
	p.agent = p.startAgent("a", platform, peer, engine)
	p.slowAgent = p.startAgent("s", platform, slowPeer, slowEngine)
	p.entry = p.start("entry", fmt.Sprintf(`{"Instance":"e","Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"CallerAddress":%q,"MaxBodyBytes":1048576,"BodyTimeoutMillis":10000}`, operator, platform, caller))
	p.await("http://"+operator+"/ready", "", "")
	p.write("intent.json", `{"Serve":[{"Model":"m","Version":"v1","Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"},{"Model":"slow","Version":"v1","Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"}],"CostCeilingPerHour":100}`)
	plan := p.run(operatorKey, "--operator-at", operator, "--json", "plan", filepath.Join(p.folder, "intent.json"))
	var stated struct{ ID string }
	p.check(json.Unmarshal([]byte(plan), &stated))
	p.run(operatorKey, "--operator-at", operator, "confirm", stated.ID)
	p.key = p.run(operatorKey, "--operator-at", operator, "give-key", "c")
	p.await("http://"+caller+"/v1/completions", completionBody("m", 1, false), p.key)
	p.await("http://"+caller+"/v1/completions", completionBody("slow", 1, false), p.key)
	return p
}

func (p *processes) startAgent(instance, platform, peer, engine string) *exec.Cmd {
	return p.start("agent", fmt.Sprintf(`{"Instance":%q,"Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"PeerAddress":%q,"EngineAddress":%q}`, instance, p.address(), platform, peer, engine))
}

func (p *processes) check(err error) {
	p.b.Helper()
	if err != nil {
		p.b.Fatal(err)
	}
}

func (p *processes) address() string {
	address, err := peridotstandin.FreeAddress()
	p.check(err)
	return address
}

func (p *processes) write(name, text string) {
	p.check(os.WriteFile(filepath.Join(p.folder, name), []byte(text), 0o600))
}

// start runs a role until the benchmark ends.
func (p *processes) start(role, settings string) *exec.Cmd {
	p.started++
	name := fmt.Sprintf("%s-%d.json", role, p.started)
	p.write(name, settings)
	command := exec.Command(p.program, role, "--settings", filepath.Join(p.folder, name))
	if role == "entry" || role == "agent" {
		command.Env = append(os.Environ(), coresPerRole)
	}
	p.check(command.Start())
	p.b.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// run runs an operator's command and returns its output.
func (p *processes) run(key string, arguments ...string) string {
	command := exec.Command(p.program, arguments...)
	command.Env = append(os.Environ(), keyVariable+"="+key)
	var failure bytes.Buffer
	command.Stderr = &failure
	output, err := command.Output()
	if err != nil {
		p.b.Fatalf("%v: %v: %s", arguments, err, failure.String())
	}
	return strings.TrimSpace(string(output))
}

// await sends a request until it is answered with 200.
func (p *processes) await(url, body, key string) {
	for range askTries {
		if status, err := p.post(http.DefaultClient, url, body, key); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(askPause)
	}
	p.b.Fatalf("%s: not answered with 200", url)
}

func (p *processes) post(client *http.Client, url, body, key string) (int, error) {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func completionBody(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"Next hymn?","max_tokens":%d,"stream":%v}`, model, tokens, stream)
}

// measureLatency alternates between both ways and compares the medians of the
// time to the first byte.
func (p *processes) measureLatency() {
	var direct, through []time.Duration
	for range latencySamples {
		direct = append(direct, p.firstByte(p.engine, ""))
		through = append(through, p.firstByte(p.caller, p.key))
	}
	slices.Sort(direct)
	slices.Sort(through)
	middle := latencySamples / 2
	p.b.ReportMetric(direct[middle].Seconds()*1e6, "direct-µs")
	p.b.ReportMetric(through[middle].Seconds()*1e6, "through-µs")
	p.b.ReportMetric((through[middle]-direct[middle]).Seconds()*1e6, "added-µs")
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
func (p *processes) measureLoad() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadWorkers}}
	var sent, failed atomic.Int64
	var workers sync.WaitGroup
	entryBefore, agentBefore := p.processorSeconds(p.entry), p.processorSeconds(p.agent)
	began := time.Now()
	for range loadWorkers {
		workers.Go(func() {
			for sent.Add(1) <= loadRequests {
				status, err := p.post(client, "http://"+p.caller+"/v1/completions", completionBody("m", 1, false), p.key)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	took := time.Since(began).Seconds()
	p.b.ReportMetric(loadRequests/took, "requests/s")
	p.b.ReportMetric(float64(failed.Load()), "failed")
	p.b.ReportMetric((p.processorSeconds(p.entry)-entryBefore)/loadRequests*1e6, "entry-cpu-µs/request")
	p.b.ReportMetric((p.processorSeconds(p.agent)-agentBefore)/loadRequests*1e6, "agent-cpu-µs/request")
}

// measureTokens runs streams side by side whose tokens come one by one.
func (p *processes) measureTokens() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCount}}
	var streams sync.WaitGroup
	var failed atomic.Int64
	entryBefore, agentBefore := p.processorSeconds(p.entry), p.processorSeconds(p.slowAgent)
	for range streamCount {
		streams.Go(func() {
			status, err := p.post(client, "http://"+p.caller+"/v1/completions", completionBody("slow", streamTokens, true), p.key)
			if err != nil || status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	streams.Wait()
	const tokens = streamCount * streamTokens
	p.b.ReportMetric(float64(failed.Load()), "failed-streams")
	p.b.ReportMetric((p.processorSeconds(p.entry)-entryBefore)/tokens*1e6, "entry-cpu-µs/token")
	p.b.ReportMetric((p.processorSeconds(p.slowAgent)-agentBefore)/tokens*1e6, "agent-cpu-µs/token")
}

// measureIdle reports the share of a core that each role spends on control
// alone.
func (p *processes) measureIdle() {
	entry, agent := p.processorSeconds(p.entry), p.processorSeconds(p.agent)
	time.Sleep(idleTime)
	share := 100 / idleTime.Seconds()
	p.b.ReportMetric((p.processorSeconds(p.entry)-entry)*share, "entry-idle-%core")
	p.b.ReportMetric((p.processorSeconds(p.agent)-agent)*share, "agent-idle-%core")
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
