package peridotintent

import (
	"cmp"
	"fmt"
	"slices"

	"peridotstack/peridotconfig"
	"peridotstack/peridotverdict"
)

// Intent is what an operator wants: which models, versions and plain services
// serve which client accounts, in which failure domains, under what ceiling.
type Intent struct {
	Serve []Serve
	// CostCeilingPerHour bounds all backend servers together; 0 means no ceiling.
	CostCeilingPerHour float64
}

// Serve asks for one model or plain service. Exactly one of Model and Service
// is set.
type Serve struct {
	Model   string
	Version string
	Service string
	// Accounts may use it; empty leaves the accounts as they are.
	Accounts []string
	// Domains names the failure domains.
	Domains []string
	// Replicas is the number of backend servers in each of the domains.
	Replicas int
	// Role is that of the engines; empty means Mixed.
	Role peridotconfig.Role
}

// Step is one difference between what runs and what the intent asks for.
type Step struct {
	Domain  string
	Model   string
	Version string
	Service string
	Role    peridotconfig.Role
	// From and To are numbers of backend servers.
	From int
	To   int
	// FromVersion is what ran before, if another version did.
	FromVersion string
	// AwaySeconds is how long each engine concerned is away.
	AwaySeconds float64
}

// Plan is what would happen. It counts only once it is confirmed.
type Plan struct {
	ID string
	// Operator stated the intent.
	Operator string
	// FleetVersion is the version of the row peridotconfig.FleetKey that the plan
	// was made for.
	FleetVersion int64
	Steps        []Step
	// Changes is what a confirmation commits.
	Changes            peridotconfig.Changes
	CostPerHour        float64
	CostCeilingPerHour float64
	AwaySeconds        float64
}

// Make returns the plan that leads from config to the intent. It fails with the
// code BadRequest and the field at fault, or with CostCeiling.
func Make(config *peridotconfig.Config, intent Intent) (Plan, error) {
	deployments, err := deploymentsOf(config, intent)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{CostCeilingPerHour: intent.CostCeilingPerHour}
	plan.CostPerHour = costOf(config, deployments)
	if intent.CostCeilingPerHour > 0 && plan.CostPerHour > intent.CostCeilingPerHour {
		message := fmt.Sprintf("the intent costs %.2f an hour, above the ceiling of %.2f", plan.CostPerHour, intent.CostCeilingPerHour)
		return Plan{}, peridotverdict.New(peridotverdict.CostCeiling, peridotverdict.NotRun, message, peridotverdict.Field("CostCeilingPerHour"))
	}
	plan.Steps = stepsOf(config, deployments)
	for _, step := range plan.Steps {
		plan.AwaySeconds += step.AwaySeconds * float64(max(step.To, step.From))
	}
	plan.Changes = append(accountChanges(config, intent), peridotconfig.SetDeployments{
		Deployments:        deployments,
		CostCeilingPerHour: intent.CostCeilingPerHour,
	})
	return plan, nil
}

func deploymentsOf(config *peridotconfig.Config, intent Intent) ([]peridotconfig.Deployment, error) {
	if len(intent.Serve) == 0 {
		return nil, bad("Serve", "the intent serves nothing")
	}
	if intent.CostCeilingPerHour < 0 {
		return nil, bad("CostCeilingPerHour", "the ceiling must not be negative")
	}
	var deployments []peridotconfig.Deployment
	for i, s := range intent.Serve {
		if err := check(config, fmt.Sprintf("Serve[%d].", i), s); err != nil {
			return nil, err
		}
		for _, domain := range s.Domains {
			deployments = append(deployments, peridotconfig.Deployment{
				Domain:   domain,
				Model:    s.Model,
				Version:  s.Version,
				Service:  s.Service,
				Role:     roleOf(s),
				Replicas: s.Replicas,
			})
		}
	}
	return deployments, nil
}

func roleOf(s Serve) peridotconfig.Role {
	if s.Model == "" {
		return ""
	}
	return cmp.Or(s.Role, peridotconfig.Mixed)
}

// check checks one Serve; at is the path of the field for error messages.
func check(config *peridotconfig.Config, at string, s Serve) error {
	if (s.Model == "") == (s.Service == "") {
		return bad(at+"Model", "exactly one of Model and Service must be set")
	}
	if s.Model != "" {
		if _, ok := config.Model(s.Model); !ok {
			return bad(at+"Model", "no model "+s.Model)
		}
		if s.Version == "" {
			return bad(at+"Version", "a model needs a version")
		}
	}
	if s.Service != "" {
		if _, ok := config.Service(s.Service); !ok {
			return bad(at+"Service", "no service "+s.Service)
		}
	}
	if s.Replicas < 0 {
		return bad(at+"Replicas", "Replicas must not be negative")
	}
	if !slices.Contains([]peridotconfig.Role{"", peridotconfig.Mixed, peridotconfig.Prefill, peridotconfig.Decode}, s.Role) {
		return bad(at+"Role", "Role must be Mixed, Prefill or Decode")
	}
	if len(s.Domains) == 0 {
		return bad(at+"Domains", "at least one failure domain is needed")
	}
	for _, domain := range s.Domains {
		known := func(d peridotconfig.Domain) bool { return d.Name == domain }
		if !slices.ContainsFunc(config.Domains, known) {
			return bad(at+"Domains", "no failure domain "+domain)
		}
	}
	for _, account := range s.Accounts {
		if _, ok := config.Account(account); !ok {
			return bad(at+"Accounts", "no client account "+account)
		}
	}
	return nil
}

func costOf(config *peridotconfig.Config, deployments []peridotconfig.Deployment) float64 {
	cost := 0.0
	for _, d := range deployments {
		if m, ok := config.Model(d.Model); ok {
			cost += m.CostPerHour * float64(d.Replicas)
		}
		if s, ok := config.Service(d.Service); ok {
			cost += s.CostPerHour * float64(d.Replicas)
		}
	}
	return cost
}

// stepsOf lists the differences between what config deploys and the wanted
// deployments.
func stepsOf(config *peridotconfig.Config, wanted []peridotconfig.Deployment) []Step {
	var steps []Step
	for _, w := range wanted {
		old, _ := find(config.Deployments, w)
		if old.Replicas == w.Replicas && old.Version == w.Version {
			continue
		}
		step := stepTo(config, w)
		step.From = old.Replicas
		if old.Version != w.Version {
			step.FromVersion = old.Version
		}
		steps = append(steps, step)
	}
	for _, old := range config.Deployments {
		if _, ok := find(wanted, old); !ok && old.Replicas > 0 {
			step := stepTo(config, old)
			step.From, step.To = old.Replicas, 0
			steps = append(steps, step)
		}
	}
	return steps
}

func stepTo(config *peridotconfig.Config, d peridotconfig.Deployment) Step {
	model, _ := config.Model(d.Model)
	return Step{
		Domain:      d.Domain,
		Model:       d.Model,
		Version:     d.Version,
		Service:     d.Service,
		Role:        d.Role,
		To:          d.Replicas,
		AwaySeconds: model.AwaySeconds,
	}
}

// find returns the deployment of the same thing in the same place.
func find(deployments []peridotconfig.Deployment, like peridotconfig.Deployment) (peridotconfig.Deployment, bool) {
	for _, d := range deployments {
		if d.Domain == like.Domain && d.Model == like.Model && d.Service == like.Service && d.Role == like.Role {
			return d, true
		}
	}
	return peridotconfig.Deployment{}, false
}

// accountChanges lets the intent's accounts use what it serves.
func accountChanges(config *peridotconfig.Config, intent Intent) peridotconfig.Changes {
	var changes peridotconfig.Changes
	changed := make(map[string]peridotconfig.Account)
	var order []string
	for _, s := range intent.Serve {
		for _, name := range s.Accounts {
			account, ok := changed[name]
			if !ok {
				account, _ = config.Account(name)
				order = append(order, name)
			}
			changed[name] = allow(account, s)
		}
	}
	for _, name := range order {
		changes = append(changes, peridotconfig.PutAccount{Account: changed[name]})
	}
	return changes
}

func allow(a peridotconfig.Account, s Serve) peridotconfig.Account {
	if a.Allows(s.Model + s.Service) {
		return a
	}
	if s.Model != "" {
		a.Models = append(slices.Clone(a.Models), s.Model)
	} else {
		a.Services = append(slices.Clone(a.Services), s.Service)
	}
	return a
}

func bad(field, message string) error {
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, message, peridotverdict.Field(field))
}
