package main

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"larchthread/internal/scale"
)

// decisionsMemory is the soft memory limit in bytes while routing decisions are simulated.
const decisionsMemory = 6 << 30

// scaleCommand returns the command that measures costs as the fleet grows (docs/CAPACITY.md).
func scaleCommand() *cobra.Command {
	asJSON := false
	c := &cobra.Command{Use: "scale",
		Short: "Measure how costs grow with the size of the fleet (docs/CAPACITY.md)",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("missing subcommand: list, watch, decisions, connections, control or feed")
		}}
	measurements := []*cobra.Command{scaleListCommand(&asJSON), scaleWatchCommand(&asJSON), scaleDecisionsCommand(&asJSON),
		scaleConnectionsCommand(&asJSON), scaleControlCommand(&asJSON)}
	for _, measurement := range measurements {
		measurement.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	}
	c.AddCommand(measurements...)
	c.AddCommand(scaleFeedCommand())
	return c
}

// scaleListCommand returns the command that measures host lists.
func scaleListCommand(asJSON *bool) *cobra.Command {
	hosts := []int{50, 200, 600, 1024}
	c := &cobra.Command{Use: "list",
		Short: "Host lists: processor time, heap and bytes to read one and apply a change",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			result, err := scale.MeasureList(hosts)
			if err != nil {
				return err
			}
			return printResult(c.OutOrStdout(), result, *asJSON)
		}}
	c.Flags().IntSliceVar(&hosts, "hosts", hosts, "lengths of the lists")
	return c
}

// scaleDecisionsCommand returns the command that simulates routing decisions.
func scaleDecisionsCommand(asJSON *bool) *cobra.Command {
	balancers, hosts, concurrent := []int{1, 30, 300, 1700}, scale.TargetHosts, 4
	scenarios := []string{}
	warmUp, duration := 3*time.Second, time.Second
	c := &cobra.Command{Use: "decisions",
		Short: "Routing decisions: how evenly many balancers load the same hosts",
		Args:  cobra.NoArgs,
		Long: "Simulate the decisions of many balancers for the same hosts, with a constant total load. All scenarios together\n" +
			"take several minutes of processor time; --only and --balancers select some.",
		RunE: func(c *cobra.Command, _ []string) error {
			debug.SetMemoryLimit(decisionsMemory)
			all := scale.Scenarios(balancers, hosts, float64(warmUp.Milliseconds()), float64(duration.Milliseconds()))
			if len(scenarios) > 0 {
				all = slices.DeleteFunc(all, func(s scale.Scenario) bool { return !slices.Contains(scenarios, s.Name) })
			}
			result, err := scale.MeasureDecisions(all, concurrent)
			if err != nil {
				return err
			}
			return printResult(c.OutOrStdout(), result, *asJSON)
		}}
	c.Flags().IntSliceVar(&balancers, "balancers", balancers, "numbers of balancers; variants are simulated with the last")
	c.Flags().IntVar(&hosts, "hosts", hosts, "cache hosts; the load of each stays the same")
	c.Flags().IntVar(&concurrent, "at-once", concurrent, "scenarios simulated concurrently")
	c.Flags().StringArrayVar(&scenarios, "only", scenarios, "run only the scenario of this name; repeatable")
	c.Flags().DurationVar(&warmUp, "warm-up", warmUp, "simulated time before measuring")
	c.Flags().DurationVar(&duration, "for", duration, "measured simulated time")
	return c
}

// scaleWatchCommand returns the command that measures the watch on discovery.
func scaleWatchCommand(asJSON *bool) *cobra.Command {
	balancers := []int{50, 200, 600, 1700}
	config := scale.WatchConfig{Hosts: scale.TargetHosts, IdleDuration: 4 * time.Second, OutageDuration: 3 * time.Second}
	c := &cobra.Command{Use: "watch",
		Short: "Discovery watch: many balancers without clients and one real process",
		Args:  cobra.NoArgs,
		Long: "Run the event loop, router and watch of many balancers without clients in this process, on loopback sockets,\n" +
			"and one real balancer process. Takes about a minute.",
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if config.Program, err = os.Executable(); err != nil {
				return err
			}
			result, err := scale.MeasureWatch(balancers, config)
			if err != nil {
				return err
			}
			return printResult(c.OutOrStdout(), result, *asJSON)
		}}
	c.Flags().IntSliceVar(&balancers, "balancers", balancers, "numbers of balancers")
	c.Flags().IntVar(&config.Hosts, "hosts", config.Hosts, "cache hosts in the list")
	c.Flags().DurationVar(&config.IdleDuration, "idle", config.IdleDuration, "duration of the measurement of the idle watch")
	c.Flags().DurationVar(&config.OutageDuration, "absence", config.OutageDuration, "duration of the outage of discovery")
	return c
}

// scaleConnectionsCommand returns the command that measures the connections of one process.
func scaleConnectionsCommand(asJSON *bool) *cobra.Command {
	config := scale.ConnectionsConfig{Hosts: scale.TargetHosts}
	c := &cobra.Command{Use: "connections",
		Short: "Connections: descriptors, memory and processor time of one balancer process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if config.Program, err = os.Executable(); err != nil {
				return err
			}
			result, err := scale.MeasureConnections(config)
			if err != nil {
				return err
			}
			return printResult(c.OutOrStdout(), result, *asJSON)
		}}
	c.Flags().IntVar(&config.Hosts, "hosts", config.Hosts, "cache hosts")
	return c
}

// scaleControlCommand returns the command that compares designs of the change feed.
func scaleControlCommand(asJSON *bool) *cobra.Command {
	balancers := scale.TargetBalancers
	c := &cobra.Command{Use: "control",
		Short: "Change feed: calculated costs of ways to send settings and purges to all balancers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printResult(c.OutOrStdout(), scale.CompareControl(balancers), *asJSON)
		}}
	c.Flags().IntVar(&balancers, "balancers", balancers, "number of balancers")
	return c
}

// printResult prints a result as tables or as JSON.
func printResult(out io.Writer, result scale.Result, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	for _, table := range result.Tables() {
		if err := table.Print(out); err != nil {
			return err
		}
	}
	return nil
}
