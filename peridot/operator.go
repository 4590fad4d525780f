package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotkey"
	"peridotstack/peridotoperator"
	"peridotstack/peridotplatform"
)

// keyVariable is the environment variable that holds the operator's key. A flag
// would show the key to every user of the machine.
const keyVariable = "PERIDOT_OPERATOR_KEY"

// console holds the flags and the output that the operator's commands share.
type console struct {
	address *string
	asJSON  *bool
	out     io.Writer
}

func (c *console) client() *peridotoperator.Client {
	return &peridotoperator.Client{Address: *c.address, Key: os.Getenv(keyVariable)}
}

// print writes an answer as JSON if the flag asks for it, and otherwise as the
// table that writeTable writes.
func (c *console) print(answer any, writeTable func(w io.Writer)) error {
	if *c.asJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	writeTable(table)
	return table.Flush()
}

func operatorCommands(app *kingpin.Application) []command {
	c := &console{
		address: app.Flag("operator-at", "Operator address of an entry instance, for the operator's commands. Their key comes from "+keyVariable+".").Default("127.0.0.1:9080").String(),
		asJSON:  app.Flag("json", "Print answers as JSON.").Bool(),
		out:     os.Stdout,
	}
	return []command{
		initCommand(app, c),
		planCommand(app, c),
		showCommand(app, c),
		confirmCommand(app, c),
		changeCommand(app, c),
		giveKeyCommand(app, c),
		withdrawKeyCommand(app, c),
		statusCommand(app, c),
		historyCommand(app, c),
		checkCommand(app, c),
	}
}

// readJSON decodes a JSON file into value. An unknown field is an error.
func readJSON(path string, value any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(value), path)
}

func initCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("init", "Commit the first configuration and print the first operator's key.")
	platform := clause.Flag("platform-at", "Address of the platform.").Required().String()
	file := clause.Arg("changes", "File with a JSON list of changes.").Required().ExistingFile()
	return command{clause, func(ctx context.Context) error {
		var changes peridotconfig.Changes
		if err := readJSON(*file, &changes); err != nil {
			return err
		}
		key, id, hash := peridotkey.New()
		operator := peridotconfig.Operator{Name: "first", ID: id, Hash: hash}
		changes = append(changes, peridotconfig.PutOperator{Operator: operator})
		configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(*platform)}
		if _, err := configLog.Append(ctx, &peridotconfig.Config{}, peridotintent.NewID(), "init", changes); err != nil {
			return err
		}
		return c.print(peridotoperator.GivenKey{Key: key, ID: id, Seq: 1}, func(w io.Writer) { fmt.Fprintln(w, key) })
	}}
}

func planCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("plan", "State an intent and print the plan for it. Nothing changes until the plan is confirmed.")
	file := clause.Arg("intent", "File with an intent in JSON.").Required().ExistingFile()
	return command{clause, func(ctx context.Context) error {
		var intent peridotintent.Intent
		if err := readJSON(*file, &intent); err != nil {
			return err
		}
		plan, err := c.client().CreatePlan(ctx, intent)
		if err != nil {
			return err
		}
		return c.printPlan(plan)
	}}
}

func showCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("show", "Print a plan again.")
	id := clause.Arg("plan", "ID of the plan.").Required().String()
	return command{clause, func(ctx context.Context) error {
		plan, err := c.client().Plan(ctx, *id)
		if err != nil {
			return err
		}
		return c.printPlan(plan)
	}}
}

func (c *console) printPlan(p peridotintent.Plan) error {
	return c.print(p, func(w io.Writer) {
		fmt.Fprintf(w, "Plan %s: %.2f an hour, ceiling %.2f; engines are away for %.0f s in all.\n", p.ID, p.CostPerHour, p.CostCeilingPerHour, p.AwaySeconds)
		fmt.Fprintln(w, "DOMAIN\tWHAT\tVERSION\tROLE\tFROM\tTO\tAWAY EACH")
		for _, s := range p.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.0f s\n", s.Domain, s.Model+s.Service, versionText(s), s.Role, s.From, s.To, s.AwaySeconds)
		}
		fmt.Fprintf(w, "Confirm it with: peridot confirm %s\n", p.ID)
	})
}

// versionText describes the version of a step, and the one that it replaces if
// any.
func versionText(s peridotintent.Step) string {
	if s.FromVersion == "" {
		return s.Version
	}
	return s.FromVersion + " to " + s.Version
}

func confirmCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("confirm", "Confirm a plan, so that it takes effect.")
	id := clause.Arg("plan", "ID of the plan.").Required().String()
	return command{clause, func(ctx context.Context) error {
		accepted, err := c.client().ConfirmPlan(ctx, *id)
		if err != nil {
			return err
		}
		return c.printAccepted(accepted)
	}}
}

func changeCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("change", "Commit changes of models, plain services, client accounts and the like.")
	file := clause.Arg("changes", "File with a JSON list of changes.").Required().ExistingFile()
	return command{clause, func(ctx context.Context) error {
		var changes peridotconfig.Changes
		if err := readJSON(*file, &changes); err != nil {
			return err
		}
		accepted, err := c.client().CommitChanges(ctx, changes)
		if err != nil {
			return err
		}
		return c.printAccepted(accepted)
	}}
}

func (c *console) printAccepted(a peridotoperator.CommitResult) error {
	return c.print(a, func(w io.Writer) {
		if a.Accepted {
			fmt.Fprintf(w, "Commit %d is accepted.\n", a.Seq)
			return
		}
		fmt.Fprintf(w, "Commit %d is stored, but not yet acknowledged by enough instances; see: peridot status\n", a.Seq)
	})
}

func giveKeyCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("give-key", "Create a key for a client account. It is shown only once.")
	account := clause.Arg("account", "Name of the client account.").Required().String()
	return command{clause, func(ctx context.Context) error {
		given, err := c.client().GiveKey(ctx, *account)
		if err != nil {
			return err
		}
		return c.print(given, func(w io.Writer) { fmt.Fprintln(w, given.Key) })
	}}
}

func withdrawKeyCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("withdraw-key", "Withdraw a key of a client account permanently.")
	id := clause.Arg("id", "ID of the key: its second part, or the whole key.").Required().String()
	return command{clause, func(ctx context.Context) error {
		accepted, err := c.client().WithdrawKey(ctx, keyID(*id))
		if err != nil {
			return err
		}
		return c.printAccepted(accepted)
	}}
}

// keyID returns the ID within text if text is a whole key, and text itself
// otherwise.
func keyID(text string) string {
	if id, _, ok := peridotkey.Split(text); ok {
		return id
	}
	return text
}

func statusCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("status", "Print which configuration is in force at each instance.")
	return command{clause, func(ctx context.Context) error {
		list, err := c.client().Versions(ctx)
		if err != nil {
			return err
		}
		return c.print(list, func(w io.Writer) {
			fmt.Fprintln(w, "INSTANCE\tDOMAIN\tCOMMIT IN FORCE\tCONFIRMED\tUSABLE")
			for _, v := range list {
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%v\n", v.Instance, v.Domain, v.Seq, confirmedAge(v.ConfirmedMillis), v.Usable)
			}
		})
	}}
}

// confirmedAge describes the time since an instance last confirmed its
// configuration. A negative time means never.
func confirmedAge(millis int64) string {
	if millis < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", millis)
}

func historyCommand(app *kingpin.Application, c *console) command {
	clause := app.Command("history", "Print the commits of the configuration.")
	return command{clause, func(ctx context.Context) error {
		commits, err := c.client().History(ctx)
		if err != nil {
			return err
		}
		return c.print(commits, func(w io.Writer) {
			fmt.Fprintln(w, "COMMIT\tID\tBY\tCHANGES")
			for _, commit := range commits {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", commit.Seq, commit.ID, commit.Operator, changeTypes(commit.Changes))
			}
		})
	}}
}

// changeTypes returns the names of the types of changes, separated by spaces.
func changeTypes(changes peridotconfig.Changes) string {
	var names []string
	for _, ch := range changes {
		names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", ch), "peridotconfig."))
	}
	return strings.Join(names, " ")
}
