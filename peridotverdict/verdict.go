package peridotverdict

import "strconv"

// Verdict says whether the receiver of a request may have run it.
type Verdict int

const (
	// MayHaveRun means that it is unknown whether the request ran or will still
	// run. It is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var verdictNames = []string{"MayHaveRun", "NotRun", "Ran"}

// String returns the name of v, which is also its encoded form.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "Verdict(" + strconv.Itoa(int(v)) + ")"
	}
	return verdictNames[v]
}

// MarshalText implements encoding.TextMarshaler. It returns the name of v.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It sets v to the verdict with
// the given name, or to MayHaveRun if the name is unknown.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = MayHaveRun
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
		}
	}
	return nil
}
