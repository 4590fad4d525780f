package peridotcontrol

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotwire"
)

func newConfig(deployments ...peridotconfig.Deployment) *peridotconfig.Config {
	return &peridotconfig.Config{
		Models:             []peridotconfig.Model{{Name: "m", CostPerHour: 4}, {Name: "n", CostPerHour: 4}},
		Services:           []peridotconfig.Service{{Name: "s", CostPerHour: 1}},
		Deployments:        deployments,
		CostCeilingPerHour: 13,
	}
}

func newDeployment(version string, role peridotconfig.Role, replicas int) peridotconfig.Deployment {
	return peridotconfig.Deployment{Domain: "a", Model: "m", Version: version, Role: role, Replicas: replicas}
}

func newEngine(id string) peridotplatform.Instance {
	return peridotplatform.Instance{ID: id, Role: peridotplatform.RoleAgent, Domain: "a", Model: "m"}
}

func newDescription(id, version, role string, busy bool) peridotwire.Description {
	d := peridotwire.Description{Instance: id, Domain: "a", Model: "m", Version: version, Role: role, Busy: busy, Ticket: "t"}
	if version == "" {
		d.Model = ""
	}
	return d
}

// formatActions returns a short text form of actions for comparison.
func formatActions(actions []Action) string {
	var s string
	for _, a := range actions {
		switch a := a.(type) {
		case OrderEngine:
			s += fmt.Sprintf("%s %s%s%s;", a.Instance, a.Order.Kind, a.Order.Version, a.Order.Role)
		case OrderBackend:
			s += fmt.Sprintf("%s %s%s%s;", a.Order.Kind, a.Order.Model, a.Order.Service, a.Order.Instance)
		case DeferOrder:
			s += string(a.Code) + ";"
		}
	}
	return s
}

func TestNextActions(t *testing.T) {
	otherDomain := newEngine("e9")
	otherDomain.Domain = "b"
	leaving := newEngine("e2")
	leaving.Leaving = true
	tests := []struct {
		name         string
		deployments  []peridotconfig.Deployment
		instances    []peridotplatform.Instance
		descriptions []peridotwire.Description
		want         string
	}{
		{"all as configured", []peridotconfig.Deployment{newDeployment("v1", "Mixed", 1)}, []peridotplatform.Instance{newEngine("e1")}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false)}, ""},
		{"no deployments", nil, []peridotplatform.Instance{newEngine("e1")}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false)}, ""},
		{"one backend server missing", []peridotconfig.Deployment{newDeployment("v1", "Mixed", 2)}, []peridotplatform.Instance{newEngine("e1"), otherDomain}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false)}, "Add m;"},
		{"one backend server leaving", []peridotconfig.Deployment{newDeployment("v1", "Mixed", 2)}, []peridotplatform.Instance{newEngine("e1"), leaving}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false)}, "Add m;"},
		{"cost ceiling reached", []peridotconfig.Deployment{newDeployment("v1", "Mixed", 4)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2"), newEngine("e3")}, nil, "cost_ceiling;"},
		{"one backend server too many", []peridotconfig.Deployment{newDeployment("v1", "Mixed", 1)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2")}, []peridotwire.Description{newDescription("e1", "v0", "Mixed", false), newDescription("e2", "v1", "Mixed", false)}, "Remove me1;"},
		{"new version, one engine at a time", []peridotconfig.Deployment{newDeployment("v2", "Mixed", 2)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2")}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false), newDescription("e2", "v1", "Mixed", false)}, "e1 LoadModelv2;"},
		{"another engine is changing", []peridotconfig.Deployment{newDeployment("v2", "Mixed", 2)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2")}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false), newDescription("e2", "v1", "Mixed", true)}, ""},
		{"engine without a model first", []peridotconfig.Deployment{newDeployment("v2", "Mixed", 2)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2")}, []peridotwire.Description{newDescription("e1", "v1", "Mixed", false), newDescription("e2", "", "Mixed", false)}, "e2 LoadModelv2;"},
		{"separate prefill and decode roles", []peridotconfig.Deployment{newDeployment("v1", "Prefill", 1), newDeployment("v1", "Decode", 1)}, []peridotplatform.Instance{newEngine("e1"), newEngine("e2")}, []peridotwire.Description{newDescription("e1", "v1", "Prefill", false), newDescription("e2", "v1", "Prefill", false)}, "e2 SetRoleDecode;"},
		{"no ticket, no order", []peridotconfig.Deployment{newDeployment("v2", "Mixed", 1)}, []peridotplatform.Instance{newEngine("e1")}, []peridotwire.Description{{Instance: "e1", Model: "m", Version: "v1"}}, ""},
	}
	now := time.Now()
	for _, test := range tests {
		limiter := &LoadLimiter{}
		v := View{Domain: "a", Config: newConfig(test.deployments...), Instances: test.instances, Descriptions: test.descriptions}
		if got := formatActions(NextActions(v, limiter, now)); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestLoadLimiter(t *testing.T) {
	now := time.Now()
	limiter := &LoadLimiter{MinInterval: 10 * time.Second}
	v := View{Domain: "a", Config: newConfig(newDeployment("v1", "Mixed", 1))}
	tests := []struct {
		after time.Duration
		want  string
	}{
		{0, "overloaded;"},
		{10 * time.Second, "Add m;"},
		{15 * time.Second, "overloaded;"},
		{20 * time.Second, "Add m;"},
	}
	for _, test := range tests {
		if got := formatActions(NextActions(v, limiter, now.Add(test.after))); got != test.want {
			t.Errorf("after %v: got %q, want %q", test.after, got, test.want)
		}
	}
}
