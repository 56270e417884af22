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

// defaultScaleDuration is how long changes are published.
const defaultScaleDuration = 20 * time.Second

// scaleFeed are the settings of the command.
type scaleFeed struct {
	options   feedscale.Options
	seconds   float64
	inProcess bool
	html      string
}

// scaleFeedCommand shows the change feed at its full size on this machine.
func scaleFeedCommand() *cobra.Command {
	s := &scaleFeed{}
	c := &cobra.Command{Use: "feed", Short: "Show how changes spread over a fleet of hollow balancers", Args: cobra.NoArgs,
		Long: "Start a publisher, relays and hollow balancers on this machine, publish settings and purges, and measure how they spread:\n" +
			"the time until a change is applied everywhere, bytes, processor time and memory. The exit code is 1 where a change was lost,\n" +
			"applied twice or out of order.",
		Example: "  larchthread scale feed --html spread.html\n" +
			"  larchthread scale feed --balancers 1000 --seconds 60 --kill-relays 2\n" +
			"  larchthread scale feed --seconds 160 --cut-region 120 --cut 2m",
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c) }}
	flags := c.Flags()
	flags.IntVar(&s.options.Subscribers, "balancers", feedscale.DefaultSubscribers, "hollow balancers, in this process")
	flags.IntVar(&s.options.Relays, "relays", feedscale.DefaultRelays, "relays between the publisher and the balancers")
	flags.IntVar(&s.options.Regions, "regions", feedscale.DefaultRegions, "regions over which relays and balancers are spread")
	flags.Float64Var(&s.seconds, "seconds", defaultScaleDuration.Seconds(), "how long changes are published")
	flags.Float64Var(&s.options.PurgesPerSecond, "purges-per-second", feedscale.DefaultPurgesPerSecond, "in the mean")
	flags.Float64Var(&s.options.SettingsPerSecond, "settings-per-second", feedscale.DefaultSettingsPerSecond, "in the mean")
	flags.IntVar(&s.options.SettingBytes, "setting-bytes", feedscale.DefaultSettingBytes, "of a setting's value")
	flags.Uint64Var(&s.options.Seed, "seed", 1, "of the workload, the placement and random waits")
	flags.BoolVar(&s.inProcess, "in-process", false, "run publisher and relays in this process")
	flags.IntVar(&s.options.KillRelays, "kill-relays", 0, "kill so many relays in mid-run, so that their connections end")
	flags.IntVar(&s.options.FreezeRelays, "freeze-relays", 0, "have so many relays fall silent in mid-run, with their connections open")
	flags.IntVar(&s.options.CutSize, "cut-region", 0, "cut off a region with so many balancers in mid-run")
	flags.DurationVar(&s.options.CutDuration, "cut", 2*time.Minute, "for how long the region is cut off")
	flags.BoolVar(&s.options.RestartAll, "restart-all", false, "kill publisher and relays in mid-run, and start them again")
	flags.StringVar(&s.html, "html", "", "write a report with pictures to this file")
	return c
}

// run plays the fleet, with a line a second on the terminal, and prints what came of it.
func (s *scaleFeed) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := s.play(ctx, c.ErrOrStderr())
	if err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
		return exitError(exitFailure)
	}
	result.Table(c.OutOrStdout())
	if err := s.report(result, c.OutOrStdout()); err != nil {
		fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
		return exitError(exitFailure)
	}
	if result.Failed() {
		return exitError(exitFailure)
	}
	return nil
}

func (s *scaleFeed) play(ctx context.Context, progress io.Writer) (*feedscale.Result, error) {
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

// report writes the HTML file, if one is wanted.
func (s *scaleFeed) report(result *feedscale.Result, w io.Writer) error {
	if s.html == "" {
		return nil
	}
	file, err := os.Create(s.html)
	if err != nil {
		return err
	}
	if err := errors.Join(result.HTML(file), file.Close()); err != nil {
		return err
	}
	fmt.Fprintln(w, "report:", s.html)
	return nil
}
