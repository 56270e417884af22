package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"larchthread/internal/trial"
)

// firstRun is the plan of try: a balancer is killed and a host is taken out.
const firstRun = `
name: a first run
fleet: {balancers: 3, hosts: 6, zones: 2}
load: {for: 20s, rate: 400}
faults:
- {at: 5s, for: 4s, what: kill, of: [b2]}
- {at: 11s, for: 5s, what: remove, of: [h3]}
`

// trials are the settings of the commands that play plans.
type trials struct {
	drawn    int
	seed     uint64
	json     bool
	report   string
	shrink   bool
	quiet    bool
	program  string
	ofServer []string // environment of the balancers, for tests
}

func (t *trials) flags(c *cobra.Command) {
	c.Flags().BoolVar(&t.json, "json", false, "print results as JSON, one a line")
	c.Flags().StringVar(&t.report, "report", t.report, "write the report with plots to this file")
	c.Flags().BoolVar(&t.quiet, "quiet", false, "no word on the way")
	c.Flags().StringVar(&t.program, "program", "", "try this build in place of the one that is called")
}

func trialCommand() *cobra.Command {
	t := &trials{}
	c := &cobra.Command{Use: "trial [PLAN.yaml...]", Short: "Start a fleet here, inject the faults of a plan, and check the rules (docs/trial.md)",
		Long: "Start balancers beside simulated cache hosts on loopback, send them ops, inject the faults of a plan, and check the rules from\n" +
			"what clients and hosts saw. The exit code is 1 where a rule was broken.\n\nFaults that a plan may name, and what they apply to:\n\n" +
			trial.FaultTable(),
		Example: "  larchthread trial plan.yaml --report report.html\n  larchthread trial --draw 20 --seed 1 --shrink",
		RunE: func(c *cobra.Command, files []string) error {
			plans, err := t.plans(files)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return exitError(exitUsage)
			}
			return t.play(c, plans)
		}}
	t.flags(c)
	c.Flags().IntVar(&t.drawn, "draw", 0, "draw so many plans")
	c.Flags().Uint64Var(&t.seed, "seed", 1, "of the first drawn plan; the next ones count up")
	c.Flags().BoolVar(&t.shrink, "shrink", false, "look for the least plan that fails the same way")
	return c
}

func tryCommand() *cobra.Command {
	t := &trials{report: "larchthread-try.html"}
	c := &cobra.Command{Use: "try", Short: "See it at work for 20 s: three balancers, one is killed, a host is taken out", Args: cobra.NoArgs,
		Example: "  go run ./cmd/larchthread try",
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := trial.ParsePlan([]byte(firstRun))
			if err != nil {
				return err
			}
			return t.play(c, []trial.Plan{p})
		}}
	t.flags(c)
	return c
}

// plans are those of the files, or drawn ones.
func (t *trials) plans(files []string) (all []trial.Plan, err error) {
	switch {
	case t.drawn < 0 || t.drawn > 10000:
		return nil, fmt.Errorf("--draw %d: want 1 to 10000", t.drawn)
	case len(files) > 0 && t.drawn > 0:
		return nil, errors.New("want plans by file or by --draw, not both")
	case len(files)+t.drawn == 0:
		return nil, errors.New("no plan: name a file, or draw some with --draw")
	}
	for i := range t.drawn {
		all = append(all, trial.RandomPlan(t.seed+uint64(i)))
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		p, err := trial.ParsePlan(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		all = append(all, p)
	}
	return all, nil
}

// play plays plans one after another. An interrupt ends what was started, and then the program.
func (t *trials) play(c *cobra.Command, plans []trial.Plan) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := t.program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = self
	}
	say := func(form string, a ...any) {
		if !t.quiet {
			fmt.Fprintf(c.ErrOrStderr(), form, a...)
		}
	}
	run := func(ctx context.Context, p trial.Plan) (*trial.Result, error) {
		cluster := &trial.Cluster{Program: program, Args: []string{"serve"}, Env: t.ofServer, Logf: say}
		return cluster.Run(ctx, p)
	}
	failed := 0
	for i, p := range plans {
		say("%s (%d of %d)\n", p.Name, i+1, len(plans))
		r, err := run(ctx, p)
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
			return exitError(exitFailure)
		}
		if err := t.tell(c.OutOrStdout(), r, len(plans) > 1); err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
			return exitError(exitFailure)
		}
		if !r.Failed() {
			continue
		}
		if failed++; t.shrink {
			least, err := trial.Shrink(ctx, p, r.BrokenRules(), run)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
				return exitError(exitFailure)
			}
			fmt.Fprintf(c.OutOrStdout(), "the least plan that breaks it too:\n%s", least)
		}
	}
	if failed > 0 {
		fmt.Fprintf(c.ErrOrStderr(), "%d of %d plans broke a rule\n", failed, len(plans))
		return exitError(exitFailure)
	}
	return nil
}

// tell prints a result, short where there are many, and writes its report.
func (t *trials) tell(w io.Writer, r *trial.Result, short bool) error {
	switch {
	case t.json:
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return err
		}
	case short && !r.Failed():
		fmt.Fprintf(w, "%s: kept, %.1f%% in time\n", r.Name, 100*r.InTimeShare())
	default:
		r.WriteTable(w)
		if r.Failed() {
			fmt.Fprintf(w, "\nthe plan:\n%s", r.Plan)
		}
	}
	if t.report == "" {
		return nil
	}
	name := t.report
	if short {
		name = strings.TrimSuffix(name, ".html") + "-" + strings.ReplaceAll(r.Name, " ", "-") + ".html"
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := errors.Join(r.WriteHTML(f), f.Close()); err != nil {
		return err
	}
	fmt.Fprintln(w, "report:", name)
	return nil
}
