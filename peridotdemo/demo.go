package peridotdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"peridotstack/peridotagent"
	"peridotstack/peridotconfig"
	"peridotstack/peridotentry"
	"peridotstack/peridotkey"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottree"
)

const (
	shutdownGraceMillis    = 10_000
	maxBodyBytes           = 4 << 20
	bodyTimeoutMillis      = 10_000
	tokenInterval          = 10 * time.Millisecond
	orderDuration          = 2 * time.Second
	prefillTokensPerSecond = 20_000
)

// The model, the plain service and the client account of the demonstration.
const (
	Model   = "hino-llm"
	Service = "quadro-api"
	Account = "matriz-recife"
)

// Keys holds the secret keys of the demonstration's caller and operator.
type Keys struct {
	Caller   string
	Operator string
}

// Demo runs a demonstration of the system. Make one with New.
type Demo struct {
	Keys Keys
	// CallerAddresses and OperatorAddresses hold the addresses of the entry
	// instances, in the same order.
	CallerAddresses   []string
	OperatorAddresses []string

	out             io.Writer
	supervisor      *suture.Supervisor
	platform        *peridotstandin.Platform
	platformAddress string
	instances       []peridotplatform.Instance
}

// New starts the stand-ins, commits the first configuration, and returns a
// demonstration with one entry instance for each caller address. There must be an
// operator address for each caller address. An address is an IP number and port.
func New(out io.Writer, callerAddresses, operatorAddresses []string) (*Demo, error) {
	d := &Demo{
		CallerAddresses:   callerAddresses,
		OperatorAddresses: operatorAddresses,
		out:               out,
		supervisor:        peridottree.New("demo"),
		platform:          peridotstandin.NewPlatform(),
	}
	address, err := d.serveHTTP(d.platform.Handler())
	if err != nil {
		return nil, err
	}
	d.platformAddress = address
	if err := d.addAgents(); err != nil {
		return nil, err
	}
	d.platform.SetInstances(d.instances...)
	if err := d.bootstrap(); err != nil {
		return nil, err
	}
	d.addEntries()
	return d, nil
}

// Serve prints instructions and runs the roles until ctx is done.
func (d *Demo) Serve(ctx context.Context) error {
	d.printHelp()
	err := d.supervisor.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveHTTP serves a stand-in on a free loopback port and returns its address.
func (d *Demo) serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	go http.Serve(listener, h) // Runs until the process ends.
	return listener.Addr().String(), nil
}

// addAgents starts the stand-in backend servers and adds an agent for each.
func (d *Demo) addAgents() error {
	for _, domain := range []string{"recife-a", "recife-b", "fortaleza-a"} {
		engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{
			Model:                  Model,
			Version:                "v1",
			Role:                   string(peridotconfig.Mixed),
			PrefillTokensPerSecond: prefillTokensPerSecond,
			TokenInterval:          tokenInterval,
			OrderTime:              orderDuration,
		})
		address, err := d.serveHTTP(engine.Handler())
		if err != nil {
			return err
		}
		settings := peridotsettings.Agent{EngineAddress: address}
		if err := d.addAgent(domain, "engine-"+domain, settings, Model, ""); err != nil {
			return err
		}
	}
	for _, domain := range []string{"recife-a", "recife-b"} {
		address, err := d.serveHTTP(&peridotstandin.Service{})
		if err != nil {
			return err
		}
		settings := peridotsettings.Agent{ServiceAddress: address, Service: Service}
		if err := d.addAgent(domain, "api-"+domain, settings, "", Service); err != nil {
			return err
		}
	}
	return nil
}

// addAgent adds the agent of one backend server, which serves either a model or
// a plain service.
func (d *Demo) addAgent(domain, instance string, s peridotsettings.Agent, model, service string) error {
	peer, err := peridotstandin.FreeAddress()
	if err != nil {
		return err
	}
	s.PeerAddress = peer
	s.Process = peridotsettings.Process{
		Instance:            instance,
		Domain:              domain,
		PlatformAddress:     d.platformAddress,
		ShutdownGraceMillis: shutdownGraceMillis,
	}
	agent := peridotagent.New(s, peridotplatform.NewClient(d.platformAddress))
	d.supervisor.Add(peridottree.Component{Name: instance, Run: agent.Serve})
	d.instances = append(d.instances, peridotplatform.Instance{
		ID:      instance,
		Role:    peridotplatform.RoleAgent,
		Domain:  domain,
		Address: peer,
		Model:   model,
		Service: service,
	})
	return nil
}

func (d *Demo) addEntries() {
	for i, caller := range d.CallerAddresses {
		entry := peridotentry.New(peridotsettings.Entry{
			Process: peridotsettings.Process{
				Instance:            fmt.Sprintf("entry-%d", i+1),
				Domain:              "recife-a",
				OperatorAddress:     d.OperatorAddresses[i],
				PlatformAddress:     d.platformAddress,
				ShutdownGraceMillis: shutdownGraceMillis,
			},
			CallerAddress:     caller,
			MaxBodyBytes:      maxBodyBytes,
			BodyTimeoutMillis: bodyTimeoutMillis,
		}, peridotplatform.NewClient(d.platformAddress))
		d.supervisor.Add(peridottree.Component{Name: fmt.Sprintf("entry-%d", i+1), Run: entry.Serve})
	}
}

// bootstrap commits the first configuration. An operator does this once for a
// system.
func (d *Demo) bootstrap() error {
	changes, keys := FirstChanges()
	d.Keys = keys
	configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(d.platformAddress)}
	_, err := configLog.Append(context.Background(), &peridotconfig.Config{}, "bootstrap", "bootstrap", changes)
	return errors.Wrap(err, "bootstrap")
}

// FirstChanges returns a small configuration with one model, one plain service,
// one client account and one operator.
func FirstChanges() (peridotconfig.Changes, Keys) {
	caller, callerID, callerHash := peridotkey.New()
	operator, operatorID, operatorHash := peridotkey.New()
	domains := []string{"recife-a", "recife-b", "fortaleza-a", "salvador-a"}
	var changes peridotconfig.Changes
	for _, domain := range domains {
		changes = append(changes, peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: domain, Region: "nordeste"}})
	}
	changes = append(changes,
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: Model, CostPerHour: 4, PrefillTokensPerSecond: prefillTokensPerSecond, DecodeTokensPerSecond: 1000, AwaySeconds: 2}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: Service, CostPerHour: 0.5, Routes: []peridotconfig.Route{
			{Method: http.MethodPost, Path: "/push"},
			{Method: http.MethodGet, Path: "/board", Idempotent: true},
			{Method: http.MethodGet, Path: "/health", Idempotent: true, Open: true},
		}}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: Account, Services: []string{Service}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: callerID, Account: Account, Hash: callerHash}},
		peridotconfig.PutOperator{Operator: peridotconfig.Operator{Name: "demo", ID: operatorID, Hash: operatorHash}},
		peridotconfig.SetDeployments{Deployments: []peridotconfig.Deployment{
			{Domain: "recife-a", Service: Service, Replicas: 1},
			{Domain: "recife-b", Service: Service, Replicas: 1},
		}, CostCeilingPerHour: 20},
	)
	return changes, Keys{Caller: caller, Operator: operator}
}

const help = `peridot demo: all roles and the stand-ins run in this process.

State an intent, read the plan, confirm it (PLAN is the ID it prints):

  curl -s -H 'Authorization: Bearer %[2]s' http://%[3]s/operator/plans -d '{"Serve":[{"Model":"%[5]s","Version":"v1","Accounts":["%[6]s"],"Domains":["recife-a","recife-b","fortaleza-a"],"Replicas":1},{"Service":"%[7]s","Domains":["recife-a","recife-b"],"Replicas":1}],"CostCeilingPerHour":20}'
  curl -s -X POST -H 'Authorization: Bearer %[2]s' http://%[3]s/operator/plans/PLAN/confirm

Then ask the model for a stream, and push to the board once:

  curl -sN -H 'Authorization: Bearer %[1]s' http://%[4]s/v1/completions -d '{"model":"%[5]s","prompt":"Next hymn?","max_tokens":8,"stream":true}'
  curl -s -H 'Authorization: Bearer %[1]s' -H 'Idempotency-Key: push-1' http://%[4]s/services/%[7]s/push -d '{"Board":"nave","Hymn":42}'

Stop with Ctrl-C.
`

func (d *Demo) printHelp() {
	fmt.Fprintf(d.out, help, d.Keys.Caller, d.Keys.Operator, d.OperatorAddresses[0], d.CallerAddresses[0], Model, Account, Service)
}
