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
	"strings"
	"testing"
	"time"

	"peridotstack/peridotplatform"
	"peridotstack/peridotstandin"
)

// testCluster runs the roles and the stand-ins as separate processes: one
// platform, two engines with their agents, and one or more entry instances.
type testCluster struct {
	testing.TB
	dir              string
	startedProcesses int
	programPath      string
	platformAddress  string
	// engineAddress is the address of the fast engine, which belongs to agent.
	engineAddress string
	agent         *exec.Cmd
	// slowAgent is the agent of an engine that pauses for tokenIntervalMillis
	// before each token.
	slowAgent   *exec.Cmd
	entries     []entryProcess
	operatorKey string
	// authority signs the processes' certificates. If it is nil, they have none.
	authority  *peridotstandin.Authority
	accountKey string
}

// entryProcess is one entry instance.
type entryProcess struct {
	*exec.Cmd
	instance        string
	callerAddress   string
	operatorAddress string
}

// instanceSettings describes an instance in the settings of the stand-in
// platform.
type instanceSettings struct {
	ID      string
	Role    peridotplatform.Role
	Domain  string
	Address string
	Model   string
}

const initialChanges = `[{"PutDomain":{"Domain":{"Name":"d"}}},
{"PutModel":{"Model":{"Name":"m","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},
{"PutModel":{"Model":{"Name":"slow","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},
{"PutAccount":{"Account":{"Name":"c","Weight":1}}}]`

// startCluster starts a testCluster with the given number of entry instances and
// waits until both models answer. With secure set, the processes use
// certificates.
func startCluster(tb testing.TB, entries int, secure bool) *testCluster {
	c := &testCluster{TB: tb, dir: tb.TempDir()}
	if secure {
		authority, err := peridotstandin.NewAuthority(c.dir)
		c.check(err)
		c.authority = authority
	}
	c.programPath = filepath.Join(c.dir, "peridot")
	c.check(os.Symlink(os.Args[0], c.programPath))
	platform, peer, slowPeer, slowEngine := c.freeAddress(), c.freeAddress(), c.freeAddress(), c.freeAddress()
	c.platformAddress, c.engineAddress = platform, c.freeAddress()
	list := []instanceSettings{
		{ID: "a", Role: peridotplatform.RoleAgent, Domain: "d", Address: peer, Model: "m"},
		{ID: "s", Role: peridotplatform.RoleAgent, Domain: "d", Address: slowPeer, Model: "slow"},
	}
	for i := range entries {
		e := entryProcess{instance: fmt.Sprint("e", i), callerAddress: c.freeAddress(), operatorAddress: c.freeAddress()}
		c.entries = append(c.entries, e)
		list = append(list, instanceSettings{ID: e.instance, Role: peridotplatform.RoleEntry, Domain: "d", Address: e.callerAddress})
	}
	instances, err := json.Marshal(list)
	c.check(err)
	c.startProcess("standin-platform", fmt.Sprintf(`{"Address":%q,"Instances":%s}`, platform, instances))
	c.startProcess("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"m","Version":"v1"}`, c.engineAddress))
	c.startProcess("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"slow","Version":"v1","TokenIntervalMillis":%d}`, slowEngine, tokenIntervalMillis))
	c.awaitOK("http://"+platform+"/instances", "{}", "")
	c.writeFile("first.json", initialChanges)
	c.operatorKey = c.runCommand("init", "--platform-at", platform, filepath.Join(c.dir, "first.json"))
	c.agent = c.startAgent("a", platform, peer, c.engineAddress)
	c.slowAgent = c.startAgent("s", platform, slowPeer, slowEngine)
	for i := range c.entries {
		c.startEntry(&c.entries[i])
	}
	c.deploy(0, "v1")
	c.accountKey = c.runCommand("--operator-at", c.entries[0].operatorAddress, "give-key", "c")
	for _, model := range []string{"m", "slow"} {
		c.awaitOK("http://"+c.entries[0].callerAddress+"/v1/completions", completionBody(model, 1, false), c.accountKey)
	}
	return c
}

func (c *testCluster) startEntry(e *entryProcess) {
	e.Cmd = c.startProcess("entry", fmt.Sprintf(`{%s"Instance":%q,"Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"CallerAddress":%q,"MaxBodyBytes":1048576,"BodyTimeoutMillis":10000}`, c.tlsSettings(e.instance), e.instance, e.operatorAddress, c.platformAddress, e.callerAddress))
	c.awaitOK("http://"+e.operatorAddress+"/ready", "", "")
}

// deploy states and confirms, through an entry instance, an intent that the fast
// engine runs the given version of m.
func (c *testCluster) deploy(entry int, version string) {
	intent := fmt.Sprintf(`{"Serve":[{"Model":"m","Version":%q,"Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"},{"Model":"slow","Version":"v1","Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"}],"CostCeilingPerHour":100}`, version)
	c.writeFile("intent.json", intent)
	operator := c.entries[entry].operatorAddress
	plan := c.runCommand("--operator-at", operator, "--json", "plan", filepath.Join(c.dir, "intent.json"))
	var stated struct{ ID string }
	c.check(json.Unmarshal([]byte(plan), &stated))
	c.runCommand("--operator-at", operator, "confirm", stated.ID)
}

// tlsSettings returns the JSON text of the TLS settings of an instance, or "" if
// the cluster has no authority.
func (c *testCluster) tlsSettings(instance string) string {
	if c.authority == nil {
		return ""
	}
	i, err := c.authority.Identity(instance)
	c.check(err)
	return fmt.Sprintf(`"TLS":{"CertificateFile":%q,"KeyFile":%q,"AuthorityFile":%q},`, i.CertificateFile, i.KeyFile, i.AuthorityFile)
}

func (c *testCluster) startAgent(instance, platform, peer, engine string) *exec.Cmd {
	return c.startProcess("agent", fmt.Sprintf(`{%s"Instance":%q,"Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"PeerAddress":%q,"EngineAddress":%q}`, c.tlsSettings(instance), instance, c.freeAddress(), platform, peer, engine))
}

func (c *testCluster) check(err error) {
	c.Helper()
	if err != nil {
		c.Fatal(err)
	}
}

func (c *testCluster) freeAddress() string {
	address, err := peridotstandin.FreeAddress()
	c.check(err)
	return address
}

func (c *testCluster) writeFile(name, text string) {
	c.check(os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600))
}

// startProcess starts a process in the given role and kills it at the end of the
// test or benchmark.
func (c *testCluster) startProcess(role, settings string) *exec.Cmd {
	c.startedProcesses++
	name := fmt.Sprintf("%s-%d.json", role, c.startedProcesses)
	c.writeFile(name, settings)
	process := exec.Command(c.programPath, role, "--settings", filepath.Join(c.dir, name))
	if role == "entry" || role == "agent" {
		process.Env = append(os.Environ(), maxProcsEnv)
	}
	c.check(process.Start())
	c.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

// runCommand runs an operator's command and returns its output without
// surrounding space.
func (c *testCluster) runCommand(arguments ...string) string {
	command := exec.Command(c.programPath, arguments...)
	command.Env = append(os.Environ(), keyVariable+"="+c.operatorKey)
	var failure bytes.Buffer
	command.Stderr = &failure
	output, err := command.Output()
	if err != nil {
		c.Fatalf("%v: %v: %s", arguments, err, failure.String())
	}
	return strings.TrimSpace(string(output))
}

// awaitOK repeats a request until the answer has status 200.
func (c *testCluster) awaitOK(url, body, key string) {
	for range maxAskAttempts {
		if status, err := c.post(http.DefaultClient, url, body, key); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(askInterval)
	}
	c.Fatalf("%s: got no answer with status 200", url)
}

// post sends a request, by GET if the body is empty, and returns the status code.
func (c *testCluster) post(client *http.Client, url, body, key string) (int, error) {
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
