package peridotmeasure

import (
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotadmit"
)

// Profile is a fleet and what is asked of it.
type Profile struct {
	Name    string
	Domains []string
	// Model is served by Engines engines, the first PrefillEngines of them with
	// the role Prefill at the start and all others with the role Decode.
	Model          string
	Engines        int
	PrefillEngines int
	// MaxEngines is what the cost ceiling allows.
	MaxEngines        int
	EngineCostPerHour float64
	// Service is the plain service, whose calls may not be repeated.
	Service            string
	Services           int
	ServiceCostPerHour float64
	Accounts           []Customer
	Kinds              []Kind
	// Load is the part of the engines' time that the requests need on the whole
	// when nothing is cached.
	Load float64
	// PrefillShare is the part of that time which is prefill.
	PrefillShare float64
	// CallsPerSecond is the rate of calls to the plain service.
	CallsPerSecond float64
	Engine         EngineKind
	// Network is the time one way between failure domains.
	Network time.Duration
}

// Customer is a client account and its part of the requests.
type Customer struct {
	peridotadmit.Account
	Share float64
}

// Kind is a kind of model request.
type Kind struct {
	// Share is the part of the requests.
	Share float64
	// Prompt and Output are mean numbers of tokens relative to other kinds; both
	// are scaled to the profile's PrefillShare.
	Prompt float64
	Output float64
	// Shared is how many tokens at the start of the prompt many requests share.
	Shared int
	// First is the part of the deadline that does not depend on the length.
	First time.Duration
}

// EngineKind says what an engine can do.
type EngineKind struct {
	PrefillTokensPerSecond float64
	// Step is the time between two tokens of a stream up to Knee streams. Beyond,
	// all streams together get no more.
	Step time.Duration
	Knee int
	// MaxStreams and Blocks of BlockTokens bound what runs at once.
	MaxStreams  int
	Blocks      int
	BlockTokens int
	// Interference is what is left of both rates while prefill and decode share
	// an engine, each for half of the time.
	Interference float64
	// Away is how long a change of role takes an idle engine away.
	Away time.Duration
}

// decodeTokensPerSecond is the rate of all streams at the knee and beyond.
func (k EngineKind) decodeTokensPerSecond() float64 {
	return float64(k.Knee) / k.Step.Seconds()
}

// Profiles returns the known profiles.
func Profiles() []Profile {
	return []Profile{quadro(), jamaica()}
}

// FindProfile returns the profile of that name.
func FindProfile(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, errors.Errorf("no profile %q", name)
}

func quadro() Profile {
	return Profile{
		Name:               "quadro",
		Domains:            []string{"recife-a", "recife-b", "fortaleza-a", "salvador-a"},
		Model:              "hino-llm",
		Engines:            9,
		PrefillEngines:     4,
		MaxEngines:         11,
		EngineCostPerHour:  12,
		Service:            "quadro-api",
		Services:           4,
		ServiceCostPerHour: 2,
		Accounts:           customers(0.30, 0.22, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08),
		Kinds: []Kind{
			{Share: 0.7, Prompt: 1600, Output: 320, Shared: 512, First: 1500 * time.Millisecond},
			{Share: 0.3, Prompt: 500, Output: 100, Shared: 256, First: time.Second},
		},
		Load:           0.9,
		PrefillShare:   4.0 / 9,
		CallsPerSecond: 10,
		Network:        time.Millisecond,
		Engine: EngineKind{
			PrefillTokensPerSecond: 8000,
			Step:                   20 * time.Millisecond,
			Knee:                   32,
			MaxStreams:             48,
			Blocks:                 1000,
			BlockTokens:            64,
			Interference:           0.8,
			Away:                   8 * time.Second,
		},
	}
}

func jamaica() Profile {
	return Profile{
		Name:               "jamaica",
		Domains:            []string{"kin-a", "kin-b", "kin-c", "kin-d"},
		Model:              "verdict-models",
		Engines:            9,
		PrefillEngines:     5,
		MaxEngines:         11,
		EngineCostPerHour:  12,
		Service:            "release-register",
		Services:           4,
		ServiceCostPerHour: 2,
		Accounts:           customers(0.28, 0.20, 0.12, 0.08, 0.08, 0.08, 0.08, 0.08),
		Kinds: []Kind{
			{Share: 0.25, Prompt: 6000, Output: 450, Shared: 512, First: 4 * time.Second},
			{Share: 0.75, Prompt: 500, Output: 90, Shared: 256, First: time.Second},
		},
		Load:           0.9,
		PrefillShare:   5.0 / 9,
		CallsPerSecond: 5,
		Network:        1500 * time.Microsecond,
		Engine: EngineKind{
			PrefillTokensPerSecond: 6000,
			Step:                   25 * time.Millisecond,
			Knee:                   32,
			MaxStreams:             48,
			Blocks:                 1000,
			BlockTokens:            128,
			Interference:           0.8,
			Away:                   8 * time.Second,
		},
	}
}

// customers makes client accounts whose weights are as their shares.
func customers(shares ...float64) []Customer {
	var list []Customer
	for i, share := range shares {
		name := "account-" + string(rune('a'+i))
		list = append(list, Customer{Account: peridotadmit.Account{Name: name, Weight: int(share*100 + 0.5)}, Share: share})
	}
	return list
}
