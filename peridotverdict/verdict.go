package peridotverdict

import "strconv"

// Verdict says whether a request may have run at its receiver.
type Verdict int

const (
	// MayHaveRun means that nobody knows. It is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var verdictNames = []string{"MayHaveRun", "NotRun", "Ran"}

// String returns the name of v as it stands in messages.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "Verdict(" + strconv.Itoa(int(v)) + ")"
	}
	return verdictNames[v]
}

// MarshalText returns the name of v.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText sets v from its name. An unknown name becomes MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = MayHaveRun
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
		}
	}
	return nil
}
