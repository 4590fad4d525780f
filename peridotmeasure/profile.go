package peridotmeasure

import (
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotadmit"
)

// Profile describes a fleet and its workload.
type Profile struct {
	Name    string
	Domains []string
	// Model is the only model. Engines engines serve it. At the start the first
	// PrefillEngines of them have the role Prefill and the others the role Decode.
	Model          string
	Engines        int
	PrefillEngines int
	// MaxEngines is the number of engines that the cost ceiling allows.
	MaxEngines        int
	EngineCostPerHour float64
	// Service is the plain service. Its calls are not idempotent. Services servers
	// run it.
	Service            string
	Services           int
	ServiceCostPerHour float64
	Accounts           []Customer
	Kinds              []RequestKind
	// Load is the fraction of the engines' time that the model requests need.
	// Shared prefixes count as cached and need no time.
	Load float64
	// PrefillShare is the fraction of this time that goes to prefill.
	PrefillShare float64
	// CallsPerSecond is the rate of calls to the plain service.
	CallsPerSecond float64
	Engine         EngineKind
	// Network is the one-way network delay between failure domains.
	Network time.Duration
}

// Customer is a client account and its share of the requests.
type Customer struct {
	peridotadmit.Account
	// Share is the fraction of the requests. The shares of a profile add up to 1.
	Share float64
}

// RequestKind is a kind of model request.
type RequestKind struct {
	// Share is the fraction of the model requests that are of this kind.
	Share float64
	// Prompt and Output are the mean numbers of tokens before scaling.
	// The generator scales those of all kinds by the same two factors, so that they
	// give the profile's PrefillShare.
	Prompt float64
	Output float64
	// Shared is the length in tokens of the prefix that many prompts share.
	Shared int
	// First is the part of the deadline that doesn't depend on the output
	// length.
	First time.Duration
}

// EngineKind describes the performance of an engine.
type EngineKind struct {
	PrefillTokensPerSecond float64
	// Step is the time between two tokens of a stream while at most Knee
	// streams run. With more streams their total rate no longer grows.
	Step time.Duration
	Knee int
	// MaxStreams limits the number of streams. Blocks is the size of the KV cache
	// in blocks of BlockTokens tokens.
	MaxStreams  int
	Blocks      int
	BlockTokens int
	// Interference is a factor for the rates of prefill and decode while both run
	// on an engine, in addition to each getting half of its time.
	Interference float64
	// Away is the time for which an idle engine is unavailable during a
	// change of role.
	Away time.Duration
}

// decodeTokensPerSecond returns the total rate of Knee or more streams.
func (k EngineKind) decodeTokensPerSecond() float64 {
	return float64(k.Knee) / k.Step.Seconds()
}

// Profiles returns the known profiles.
func Profiles() []Profile {
	return []Profile{quadro(), jamaica()}
}

// FindProfile returns the profile with the given name, or an error if there is
// none.
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
		Kinds: []RequestKind{
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
		Kinds: []RequestKind{
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

// customers returns client accounts with the given shares of the requests and
// weights in proportion to them.
func customers(shares ...float64) []Customer {
	var accounts []Customer
	for i, share := range shares {
		name := "account-" + string(rune('a'+i))
		accounts = append(accounts, Customer{Account: peridotadmit.Account{Name: name, Weight: int(share*100 + 0.5)}, Share: share})
	}
	return accounts
}
