package peridotmeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const tablePadding = 2

// WriteTable writes the results of one scenario as a table for people to read.
func WriteTable(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	first := results[0]
	fmt.Fprintf(w, "profile %s, scenario %s, seed %d, %d arrivals\n", first.Profile, first.Scenario, first.Seed, first.Arrivals)
	table := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tgoodput/s\t/plain\t/baseline\t/bound\tfirst p95\tgap p95\tchanges\tper engine\tworst share\tworst other\tmean share\trefused\tlate\tfailed\tgave up\tcost/1000\tfaults\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%v\t%v\t%d\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%.2f\t%d\t\n",
			r.Policy, r.Goodput, r.OfPlain, r.OfBestBaseline, r.OfBound,
			r.FirstP95.Round(time.Millisecond), r.GapP95.Round(time.Millisecond),
			r.RoleChanges, r.MostMoves, r.WorstShare, r.WorstOther, r.MeanShare,
			r.Refused, r.Late, r.Failed, r.GaveUp, r.CostPerThousand, len(r.Faults))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := fmt.Fprintln(w)
	return errors.Wrap(err, "write table")
}

// WriteJSON writes the results as JSON lines, one for each result.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	for i := range results {
		if err := encoder.Encode(&results[i]); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	return nil
}
