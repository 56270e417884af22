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

// demoPlan is the plan of the try command: it kills a balancer and removes a host.
const demoPlan = `
name: a first run
fleet: {balancers: 3, hosts: 6, zones: 2}
load: {for: 20s, rate: 400}
faults:
- {at: 5s, for: 4s, what: kill, of: [b2]}
- {at: 11s, for: 5s, what: remove, of: [h3]}
`

// trialRunner holds the flags of the commands that run trial plans.
type trialRunner struct {
	drawCount  int
	seed       uint64
	json       bool
	reportPath string
	shrink     bool
	quiet      bool
	program    string
	serverEnv  []string // additional environment of the balancers
}

// addFlags adds the flags common to trial and try.
func (t *trialRunner) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&t.json, "json", false, "print results as JSON, one per line")
	c.Flags().StringVar(&t.reportPath, "report", t.reportPath, "write the report with plots to this file")
	c.Flags().BoolVar(&t.quiet, "quiet", false, "print no progress")
	c.Flags().StringVar(&t.program, "program", "", "binary to test instead of this one")
}

// trialCommand returns the command that runs trial plans.
func trialCommand() *cobra.Command {
	t := &trialRunner{}
	c := &cobra.Command{Use: "trial [PLAN.yaml...]",
		Short: "Run a fleet on this machine, inject the faults of a plan, and check the rules (docs/trial.md)",
		Long: "Start balancers and simulated cache hosts on loopback, send ops, inject the faults of a plan, and check the rules\n" +
			"against what clients and hosts saw. The exit code is 1 if a rule was broken.\n\nFaults and the parts they apply to:\n\n" +
			trial.FaultTable(),
		Example: "  larchthread trial plan.yaml --report report.html\n  larchthread trial --draw 20 --seed 1 --shrink",
		RunE: func(c *cobra.Command, files []string) error {
			plans, err := t.loadPlans(files)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return exitError(exitUsage)
			}
			return t.runPlans(c, plans)
		}}
	t.addFlags(c)
	c.Flags().IntVar(&t.drawCount, "draw", 0, "number of plans to draw at random")
	c.Flags().Uint64Var(&t.seed, "seed", 1, "seed of the first drawn plan; each next plan adds 1")
	c.Flags().BoolVar(&t.shrink, "shrink", false, "search for a minimal plan that breaks the same rules")
	return c
}

// tryCommand returns the command that runs demoPlan.
func tryCommand() *cobra.Command {
	t := &trialRunner{reportPath: "larchthread-try.html"}
	c := &cobra.Command{Use: "try",
		Short:   "Run a demo of 20 s: three balancers, one is killed, a host is removed",
		Args:    cobra.NoArgs,
		Example: "  go run ./cmd/larchthread try",
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := trial.ParsePlan([]byte(demoPlan))
			if err != nil {
				return err
			}
			return t.runPlans(c, []trial.Plan{p})
		}}
	t.addFlags(c)
	return c
}

// loadPlans returns the plans in the files, or randomly drawn plans if --draw is given.
func (t *trialRunner) loadPlans(files []string) (plans []trial.Plan, err error) {
	switch {
	case t.drawCount < 0 || t.drawCount > 10000:
		return nil, fmt.Errorf("--draw %d: want 1 to 10000", t.drawCount)
	case len(files) > 0 && t.drawCount > 0:
		return nil, errors.New("want plans by file or by --draw, not both")
	case len(files)+t.drawCount == 0:
		return nil, errors.New("no plan: name a file, or draw some with --draw")
	}
	for i := range t.drawCount {
		plans = append(plans, trial.RandomPlan(t.seed+uint64(i)))
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
		plans = append(plans, p)
	}
	return plans, nil
}

// runPlans runs plans one after another, stopping at the first that cannot be run. Broken rules are reported at
// the end as exitFailure. SIGINT and SIGTERM stop the started processes.
func (t *trialRunner) runPlans(c *cobra.Command, plans []trial.Plan) error {
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
	progress := func(format string, args ...any) {
		if !t.quiet {
			fmt.Fprintf(c.ErrOrStderr(), format, args...)
		}
	}
	run := func(ctx context.Context, p trial.Plan) (*trial.Result, error) {
		cluster := &trial.Cluster{Program: program, Args: []string{"serve"}, Env: t.serverEnv, Logf: progress}
		return cluster.Run(ctx, p)
	}
	failed := 0
	for i, p := range plans {
		progress("%s (%d of %d)\n", p.Name, i+1, len(plans))
		r, err := run(ctx, p)
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
			return exitError(exitFailure)
		}
		if err := t.writeResult(c.OutOrStdout(), r, len(plans) > 1); err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
			return exitError(exitFailure)
		}
		if !r.Failed() {
			continue
		}
		if failed++; t.shrink {
			smallest, err := trial.Shrink(ctx, p, r.BrokenRules(), run)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
				return exitError(exitFailure)
			}
			fmt.Fprintf(c.OutOrStdout(), "the least plan that breaks it too:\n%s", smallest)
		}
	}
	if failed > 0 {
		fmt.Fprintf(c.ErrOrStderr(), "%d of %d plans broke a rule\n", failed, len(plans))
		return exitError(exitFailure)
	}
	return nil
}

// writeResult prints a result to w, in one line if short is set and no rule was broken, and writes its report
// file if one was requested.
func (t *trialRunner) writeResult(w io.Writer, r *trial.Result, short bool) error {
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
	if t.reportPath == "" {
		return nil
	}
	name := t.reportPath
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
