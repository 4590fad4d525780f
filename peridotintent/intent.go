package peridotintent

import (
	"cmp"
	"fmt"
	"slices"

	"peridotstack/peridotconfig"
	"peridotstack/peridotverdict"
)

// Intent is the state that an operator wants: which models and plain services
// run in which failure domains, which client accounts may use them, and the
// maximum cost.
type Intent struct {
	Serve []Serve
	// CostCeilingPerHour is the maximum cost per hour of all backend servers
	// together; 0 means no limit.
	CostCeilingPerHour float64
}

// Serve is one entry of Intent.Serve. It requests backend servers for one model or
// plain service. Exactly one of Model and Service must be set. Operators receive the
// name of the type in errors about a malformed intent.
type Serve struct {
	Model string
	// Version is the version of the model. A model requires one.
	Version string
	Service string
	// Accounts lists the client accounts that are given access. Accounts that are
	// not listed keep the access that they have.
	Accounts []string
	// Domains lists the names of the failure domains.
	Domains []string
	// Replicas is the number of backend servers in each failure domain.
	Replicas int
	// Role is the role of a model's engines; empty means Mixed.
	Role peridotconfig.Role
}

// Step is one difference between the current deployments and the requested ones.
type Step struct {
	Domain  string
	Model   string
	Version string
	Service string
	Role    peridotconfig.Role
	// From and To are the numbers of backend servers before and after the step.
	From int
	To   int
	// FromVersion is the version that the step replaces; empty if the version stays
	// the same or no version ran before.
	FromVersion string
	// AwaySeconds is how long each affected engine is unavailable.
	AwaySeconds float64
}

// Plan describes what an intent would change. It takes effect only when it is
// confirmed.
type Plan struct {
	ID string
	// Operator is the name of the operator who submitted the intent.
	Operator string
	// FleetVersion is the version of the row peridotconfig.FleetKey for which the
	// plan was made.
	FleetVersion int64
	Steps        []Step
	// Changes are the changes that a confirmation commits.
	Changes            peridotconfig.Changes
	CostPerHour        float64
	CostCeilingPerHour float64
	// AwaySeconds is the sum of the times for which the affected engines are
	// unavailable.
	AwaySeconds float64
}

// NewPlan returns the plan that leads from config to the intent. It leaves ID,
// Operator and FleetVersion unset. The error has the code BadRequest and names
// the invalid field, or has the code CostCeiling if the intent costs more than
// its ceiling.
func NewPlan(config *peridotconfig.Config, intent Intent) (Plan, error) {
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
	plan.Steps = diffDeployments(config, deployments)
	for _, step := range plan.Steps {
		plan.AwaySeconds += step.AwaySeconds * float64(max(step.To, step.From))
	}
	plan.Changes = append(accountChanges(config, intent), peridotconfig.SetDeployments{
		Deployments:        deployments,
		CostCeilingPerHour: intent.CostCeilingPerHour,
	})
	return plan, nil
}

// deploymentsOf validates the intent and returns the deployments that it
// requests.
func deploymentsOf(config *peridotconfig.Config, intent Intent) ([]peridotconfig.Deployment, error) {
	if len(intent.Serve) == 0 {
		return nil, badField("Serve", "the intent serves nothing")
	}
	if intent.CostCeilingPerHour < 0 {
		return nil, badField("CostCeilingPerHour", "the ceiling must not be negative")
	}
	var deployments []peridotconfig.Deployment
	for i, s := range intent.Serve {
		if err := validateServe(config, fmt.Sprintf("Serve[%d].", i), s); err != nil {
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

// validateServe returns an error if s is invalid. In the error, fieldPrefix
// precedes the name of the invalid field.
func validateServe(config *peridotconfig.Config, fieldPrefix string, s Serve) error {
	if (s.Model == "") == (s.Service == "") {
		return badField(fieldPrefix+"Model", "exactly one of Model and Service must be set")
	}
	if s.Model != "" {
		if _, ok := config.Model(s.Model); !ok {
			return badField(fieldPrefix+"Model", "no model "+s.Model)
		}
		if s.Version == "" {
			return badField(fieldPrefix+"Version", "a model needs a version")
		}
	}
	if s.Service != "" {
		if _, ok := config.Service(s.Service); !ok {
			return badField(fieldPrefix+"Service", "no service "+s.Service)
		}
	}
	if s.Replicas < 0 {
		return badField(fieldPrefix+"Replicas", "Replicas must not be negative")
	}
	if !slices.Contains([]peridotconfig.Role{"", peridotconfig.Mixed, peridotconfig.Prefill, peridotconfig.Decode}, s.Role) {
		return badField(fieldPrefix+"Role", "Role must be Mixed, Prefill or Decode")
	}
	if len(s.Domains) == 0 {
		return badField(fieldPrefix+"Domains", "at least one failure domain is needed")
	}
	for _, domain := range s.Domains {
		hasName := func(d peridotconfig.Domain) bool { return d.Name == domain }
		if !slices.ContainsFunc(config.Domains, hasName) {
			return badField(fieldPrefix+"Domains", "no failure domain "+domain)
		}
	}
	for _, account := range s.Accounts {
		if _, ok := config.Account(account); !ok {
			return badField(fieldPrefix+"Accounts", "no client account "+account)
		}
	}
	return nil
}

// costOf returns the cost per hour of the deployments.
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

// diffDeployments returns the steps from the deployments of config to the wanted
// ones.
func diffDeployments(config *peridotconfig.Config, wanted []peridotconfig.Deployment) []Step {
	var steps []Step
	for _, w := range wanted {
		old, _ := findDeployment(config.Deployments, w)
		if old.Replicas == w.Replicas && old.Version == w.Version {
			continue
		}
		step := newStep(config, w)
		step.From = old.Replicas
		if old.Version != w.Version {
			step.FromVersion = old.Version
		}
		steps = append(steps, step)
	}
	for _, old := range config.Deployments {
		if _, ok := findDeployment(wanted, old); !ok && old.Replicas > 0 {
			step := newStep(config, old)
			step.From, step.To = old.Replicas, 0
			steps = append(steps, step)
		}
	}
	return steps
}

// newStep returns the step that leads from no backend servers to d.
func newStep(config *peridotconfig.Config, d peridotconfig.Deployment) Step {
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

// findDeployment returns the deployment that has the failure domain, model or
// service, and role of wanted.
func findDeployment(deployments []peridotconfig.Deployment, wanted peridotconfig.Deployment) (peridotconfig.Deployment, bool) {
	for _, d := range deployments {
		if d.Domain == wanted.Domain && d.Model == wanted.Model && d.Service == wanted.Service && d.Role == wanted.Role {
			return d, true
		}
	}
	return peridotconfig.Deployment{}, false
}

// accountChanges returns the changes that give the accounts of the intent access
// to its models and services.
func accountChanges(config *peridotconfig.Config, intent Intent) peridotconfig.Changes {
	var changes peridotconfig.Changes
	changedAccounts := make(map[string]peridotconfig.Account)
	var names []string
	for _, s := range intent.Serve {
		for _, name := range s.Accounts {
			account, ok := changedAccounts[name]
			if !ok {
				account, _ = config.Account(name)
				names = append(names, name)
			}
			changedAccounts[name] = grantAccess(account, s)
		}
	}
	for _, name := range names {
		changes = append(changes, peridotconfig.PutAccount{Account: changedAccounts[name]})
	}
	return changes
}

// grantAccess returns a with access to the model or service of s.
func grantAccess(a peridotconfig.Account, s Serve) peridotconfig.Account {
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

func badField(field, message string) error {
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, message, peridotverdict.Field(field))
}
