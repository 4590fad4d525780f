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

// processes are the roles and stand-ins as processes of their own: one platform,
// two engines with their agents, and entry instances.
type processes struct {
	testing.TB
	folder   string
	started  int
	program  string
	platform string
	// engine is the address of the fast engine, which agent stands beside.
	engine string
	agent  *exec.Cmd
	// slowAgent stands beside an engine that takes its time for each token.
	slowAgent   *exec.Cmd
	entries     []entryProcess
	operatorKey string
	// authority signs the processes' certificates; nil leaves them without.
	authority *peridotstandin.Authority
	key       string
}

// entryProcess is one entry instance.
type entryProcess struct {
	*exec.Cmd
	instance string
	caller   string
	operator string
}

// listed is an instance as the settings of the platform's stand-in name it.
type listed struct {
	ID      string
	Role    peridotplatform.Role
	Domain  string
	Address string
	Model   string
}

const firstChanges = `[{"PutDomain":{"Domain":{"Name":"d"}}},
{"PutModel":{"Model":{"Name":"m","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},
{"PutModel":{"Model":{"Name":"slow","PrefillTokensPerSecond":1e9,"DecodeTokensPerSecond":1e9}}},
{"PutAccount":{"Account":{"Name":"c","Weight":1}}}]`

// startProcesses starts the processes, with certificates if secure is set.
func startProcesses(tb testing.TB, entries int, secure bool) *processes {
	p := &processes{TB: tb, folder: tb.TempDir()}
	if secure {
		authority, err := peridotstandin.NewAuthority(p.folder)
		p.check(err)
		p.authority = authority
	}
	p.program = filepath.Join(p.folder, "peridot")
	p.check(os.Symlink(os.Args[0], p.program))
	platform, peer, slowPeer, slowEngine := p.address(), p.address(), p.address(), p.address()
	p.platform, p.engine = platform, p.address()
	list := []listed{
		{ID: "a", Role: peridotplatform.RoleAgent, Domain: "d", Address: peer, Model: "m"},
		{ID: "s", Role: peridotplatform.RoleAgent, Domain: "d", Address: slowPeer, Model: "slow"},
	}
	for i := range entries {
		e := entryProcess{instance: fmt.Sprint("e", i), caller: p.address(), operator: p.address()}
		p.entries = append(p.entries, e)
		list = append(list, listed{ID: e.instance, Role: peridotplatform.RoleEntry, Domain: "d", Address: e.caller})
	}
	instances, err := json.Marshal(list)
	p.check(err)
	p.start("standin-platform", fmt.Sprintf(`{"Address":%q,"Instances":%s}`, platform, instances))
	p.start("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"m","Version":"v1"}`, p.engine))
	p.start("standin-engine", fmt.Sprintf(`{"Address":%q,"Model":"slow","Version":"v1","TokenIntervalMillis":%d}`, slowEngine, tokenIntervalMillis))
	p.await("http://"+platform+"/instances", "{}", "")
	p.write("first.json", firstChanges)
	p.operatorKey = p.run("init", "--platform-at", platform, filepath.Join(p.folder, "first.json"))
	p.agent = p.startAgent("a", platform, peer, p.engine)
	p.slowAgent = p.startAgent("s", platform, slowPeer, slowEngine)
	for i := range p.entries {
		p.startEntry(&p.entries[i])
	}
	p.deploy(0, "v1")
	p.key = p.run("--operator-at", p.entries[0].operator, "give-key", "c")
	for _, model := range []string{"m", "slow"} {
		p.await("http://"+p.entries[0].caller+"/v1/completions", completionBody(model, 1, false), p.key)
	}
	return p
}

func (p *processes) startEntry(e *entryProcess) {
	e.Cmd = p.start("entry", fmt.Sprintf(`{%s"Instance":%q,"Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"CallerAddress":%q,"MaxBodyBytes":1048576,"BodyTimeoutMillis":10000}`, p.certificate(e.instance), e.instance, e.operator, p.platform, e.caller))
	p.await("http://"+e.operator+"/ready", "", "")
}

// deploy confirms through an entry that the fast engine runs a version of m.
func (p *processes) deploy(entry int, version string) {
	intent := fmt.Sprintf(`{"Serve":[{"Model":"m","Version":%q,"Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"},{"Model":"slow","Version":"v1","Accounts":["c"],"Domains":["d"],"Replicas":1,"Role":"Mixed"}],"CostCeilingPerHour":100}`, version)
	p.write("intent.json", intent)
	operator := p.entries[entry].operator
	plan := p.run("--operator-at", operator, "--json", "plan", filepath.Join(p.folder, "intent.json"))
	var stated struct{ ID string }
	p.check(json.Unmarshal([]byte(plan), &stated))
	p.run("--operator-at", operator, "confirm", stated.ID)
}

// certificate returns the settings of a process's certificate, or nothing.
func (p *processes) certificate(instance string) string {
	if p.authority == nil {
		return ""
	}
	i, err := p.authority.Identity(instance)
	p.check(err)
	return fmt.Sprintf(`"TLS":{"CertificateFile":%q,"KeyFile":%q,"AuthorityFile":%q},`, i.CertificateFile, i.KeyFile, i.AuthorityFile)
}

func (p *processes) startAgent(instance, platform, peer, engine string) *exec.Cmd {
	return p.start("agent", fmt.Sprintf(`{%s"Instance":%q,"Domain":"d","OperatorAddress":%q,"PlatformAddress":%q,"ShutdownGraceMillis":1000,"PeerAddress":%q,"EngineAddress":%q}`, p.certificate(instance), instance, p.address(), platform, peer, engine))
}

func (p *processes) check(err error) {
	p.Helper()
	if err != nil {
		p.Fatal(err)
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
	p.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// run runs an operator's command and returns its output.
func (p *processes) run(arguments ...string) string {
	command := exec.Command(p.program, arguments...)
	command.Env = append(os.Environ(), keyVariable+"="+p.operatorKey)
	var failure bytes.Buffer
	command.Stderr = &failure
	output, err := command.Output()
	if err != nil {
		p.Fatalf("%v: %v: %s", arguments, err, failure.String())
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
	p.Fatalf("%s: not answered with 200", url)
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
