package peridotentry

import (
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotwire"
)

// TestLoneTrial guards against a request that is refused long after agents ended under it,
// without any that finds out whether it is still deadly.
func TestLoneTrial(t *testing.T) {
	run := peridotwire.Run{Method: "POST", Path: "/x", Body: "b"}
	for _, test := range []struct {
		name string
		age  time.Duration
		// isTried is set if one request must be sent.
		isTried bool
	}{
		{name: "just ended"},
		{name: "ended some time ago", age: 10 * time.Minute, isTried: true},
	} {
		q := newQuarantine()
		var list []peridotquarantine.Accusation
		for agent := range 3 {
			list = append(list, peridotquarantine.Accusation{
				Part: run.Identity(), End: peridotquarantine.EndOf("agent", int64(agent)), At: run.Software(), UnixSeconds: time.Now().Add(-test.age).Unix(),
			})
		}
		q.observe(list)
		if test.isTried {
			peridotawait.Until(t, "trial", func() bool { return q.check(run) == nil })
		}
		for range 5 {
			if q.check(run) == nil {
				t.Errorf("%s: got a request sent, want it refused", test.name)
			}
		}
	}
}
