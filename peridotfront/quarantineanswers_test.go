package peridotfront

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

// TestAnswersOutliveFronts guards against fronts that refuse a part at the software versions
// at which it was answered, because servers of another one ended under it, and the fronts that
// knew the answers are gone.
func TestAnswersOutliveFronts(t *testing.T) {
	parts := partsOf("a")
	v2 := peridotquarantine.Software{Service: testSoftware.Service, Version: "v2"}
	for _, test := range []struct {
		name string
		// teach tells the next front what the first one knows. The rows of the first front are
		// being written.
		teach func(t *testing.T, c *fakePlatform, first, next *Front)
	}{
		{name: "rows", teach: readStoredAnswers},
		{name: "rows, outage", teach: func(t *testing.T, c *fakePlatform, first, next *Front) {
			c.SetDown(true)
			time.Sleep(2 * quarantineRetryInterval)
			c.SetDown(false)
			readStoredAnswers(t, c, first, next)
		}},
		{name: "rows, answers lost", teach: func(t *testing.T, c *fakePlatform, first, next *Front) {
			c.LoseAnswers(2)
			readStoredAnswers(t, c, first, next)
		}},
		{name: "rows, restored from an older copy", teach: func(t *testing.T, c *fakePlatform, first, next *Front) {
			awaitStoredAnswers(t, c)
			c.Store.(*peridottable.Memory).Restore((&peridottable.Memory{}).Copy())
			readStoredAnswers(t, c, first, next)
		}},
		{name: "snapshot", teach: func(t *testing.T, _ *fakePlatform, first, next *Front) {
			first.SetConfig(&peridotsite.Config{Version: 1})
			w := httptest.NewRecorder()
			first.writeSnapshot(w, nil)
			var snapshot stateSnapshot
			if err := json.Unmarshal(w.Body.Bytes(), &snapshot); err != nil {
				t.Fatal(err)
			}
			next.applySnapshot(&snapshot)
		}},
		{name: "announcements", teach: func(_ *testing.T, _ *fakePlatform, first, next *Front) {
			for range newsRounds {
				first.quarantine.report(false) // The next front has missed the news.
			}
			next.quarantine.handleReport(first.quarantine.report(true))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newPlatform()
			first := newFront(t, c, "front-0")
			run(t.Context(), t, first.quarantine.followRows)
			peridotawait.Until(t, "rows read", first.quarantine.isLoaded)
			first.quarantine.recordAnswered(parts, testSoftware)
			first.quarantine.recordAnswered(parts, v2)
			time.Sleep(2 * time.Millisecond) // The servers end after the answers.
			for server := range 5 {
				endServer(t, first, server, parts)
			}
			peridotawait.Until(t, "refusal", func() bool { return judge(first, parts) == peridotquarantine.Refused })
			next := newFront(t, c, "front-1")
			test.teach(t, c, first, next)
			if got := judge(next, parts); got != peridotquarantine.Refused {
				t.Errorf("version at which servers ended: got %v, want %v", got, peridotquarantine.Refused)
			}
			if got, _ := next.quarantine.judge(parts, v2); got != peridotquarantine.Allowed {
				t.Errorf("version at which the part was answered: got %v, want %v", got, peridotquarantine.Allowed)
			}
		})
	}
}

// awaitStoredAnswers waits until the table service has the accusations of five ends and two
// answers.
func awaitStoredAnswers(t *testing.T, c *fakePlatform) {
	t.Helper()
	peridotawait.Until(t, "rows", func() bool { return len(quarantineRowsOf(t, c)) == 5+2 })
}

// readStoredAnswers makes the next front read the rows that the first one writes.
func readStoredAnswers(t *testing.T, c *fakePlatform, _, next *Front) {
	t.Helper()
	awaitStoredAnswers(t, c)
	if !next.quarantine.readRows(t.Context()) {
		t.Fatal("got no rows, want them")
	}
}

// TestAnswerRowsAreDeleted guards against rows of answers that remain for ever.
func TestAnswerRowsAreDeleted(t *testing.T) {
	parts := partsOf("a")
	c := newPlatform()
	first := newFront(t, c, "front-0")
	ctx, stop := context.WithCancel(t.Context())
	wait := run(ctx, t, first.quarantine.followRows)
	first.quarantine.recordAnswered(parts, peridotquarantine.Software{Service: testSoftware.Service, Version: "v2"})
	for server := range 3 {
		endServer(t, first, server, parts)
	}
	peridotawait.Until(t, "rows", func() bool { return len(quarantineRowsOf(t, c)) == 3+1 })
	first.quarantine.recordAnswered(parts, testSoftware)
	peridotawait.Until(t, "row of the answer alone", func() bool {
		rows := quarantineRowsOf(t, c)
		return len(rows) == 1 && strings.Contains(rows[0].Key, answerInfix)
	})
	stop()
	wait()
	next := newFront(t, c, "front-1")
	run(t.Context(), t, next.quarantine.followRows)
	peridotawait.Until(t, "no rows", func() bool { return len(quarantineRowsOf(t, c)) == 0 })
}
