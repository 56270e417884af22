package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"larchthread/internal/feed/feedscale"
)

// defaultScaleDuration is the default of how long changes are published.
const defaultScaleDuration = 20 * time.Second

// scaleFeedRunner runs the scale feed command with its flags.
type scaleFeedRunner struct {
	options   feedscale.Options
	seconds   float64
	inProcess bool
	htmlPath  string
}

// scaleFeedCommand returns the command that measures the change feed with a full fleet on this machine.
func scaleFeedCommand() *cobra.Command {
	s := &scaleFeedRunner{}
	c := &cobra.Command{Use: "feed", Short: "Change feed: measure how changes spread to all balancers", Args: cobra.NoArgs,
		Long: "Start a publisher, relays and subscribers on this machine, publish settings and purges, and measure how they spread:\n" +
			"the time until a change is applied everywhere, bytes, processor time and memory. The exit code is 1 if a change was lost,\n" +
			"applied twice or applied out of order.",
		Example: "  larchthread scale feed --html spread.html\n" +
			"  larchthread scale feed --balancers 1000 --seconds 60 --kill-relays 2\n" +
			"  larchthread scale feed --seconds 160 --cut-region 120 --cut 2m",
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c) }}
	flags := c.Flags()
	flags.IntVar(&s.options.Subscribers, "balancers", feedscale.DefaultSubscribers,
		"subscribers in place of balancers, in this process")
	flags.IntVar(&s.options.Relays, "relays", feedscale.DefaultRelays, "relays between the publisher and the balancers")
	flags.IntVar(&s.options.Regions, "regions", feedscale.DefaultRegions, "regions for relays and balancers")
	flags.Float64Var(&s.seconds, "seconds", defaultScaleDuration.Seconds(), "how long changes are published")
	flags.Float64Var(&s.options.PurgesPerSecond, "purges-per-second", feedscale.DefaultPurgesPerSecond, "mean rate of purges")
	flags.Float64Var(&s.options.SettingsPerSecond, "settings-per-second", feedscale.DefaultSettingsPerSecond,
		"mean rate of changed settings")
	flags.IntVar(&s.options.SettingBytes, "setting-bytes", feedscale.DefaultSettingBytes, "size of a setting's value in bytes")
	flags.Uint64Var(&s.options.Seed, "seed", 1, "seed of the workload, the placement and random waits")
	flags.BoolVar(&s.inProcess, "in-process", false, "run publisher and relays in this process")
	flags.IntVar(&s.options.KillRelays, "kill-relays", 0, "number of relays to kill in mid-run; their connections end")
	flags.IntVar(&s.options.FreezeRelays, "freeze-relays", 0, "number of relays to freeze in mid-run; their connections stay open")
	flags.IntVar(&s.options.CutSize, "cut-region", 0, "number of balancers in a region to cut off in mid-run")
	flags.DurationVar(&s.options.CutDuration, "cut", 2*time.Minute, "duration of the cut")
	flags.BoolVar(&s.options.RestartAll, "restart-all", false, "kill and restart publisher and relays in mid-run")
	flags.StringVar(&s.htmlPath, "html", "", "write a report with plots to this file")
	return c
}

// run measures the fleet with a progress line per second on standard error, and prints the result. A lost,
// repeated or misordered change is a failure.
func (s *scaleFeedRunner) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := s.measure(ctx, c.ErrOrStderr())
	if err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
		return exitError(exitFailure)
	}
	result.Table(c.OutOrStdout())
	if err := s.writeReport(result, c.OutOrStdout()); err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
		return exitError(exitFailure)
	}
	if result.Failed() {
		return exitError(exitFailure)
	}
	return nil
}

// measure runs the fleet and writes progress lines to progress.
func (s *scaleFeedRunner) measure(ctx context.Context, progress io.Writer) (*feedscale.Result, error) {
	s.options.Duration = time.Duration(s.seconds * float64(time.Second))
	if !s.inProcess {
		program, err := os.Executable()
		if err != nil {
			return nil, err
		}
		s.options.Program = program
	}
	return feedscale.Run(ctx, s.options, func(line string) { fmt.Fprintln(progress, line) })
}

// writeReport writes the HTML report if one was requested, and prints its file name to w.
func (s *scaleFeedRunner) writeReport(result *feedscale.Result, w io.Writer) error {
	if s.htmlPath == "" {
		return nil
	}
	file, err := os.Create(s.htmlPath)
	if err != nil {
		return err
	}
	if err := errors.Join(result.HTML(file), file.Close()); err != nil {
		return err
	}
	fmt.Fprintln(w, "report:", s.htmlPath)
	return nil
}
