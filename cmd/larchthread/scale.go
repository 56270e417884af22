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

// decisionsMemory is the size of the heap beyond which the collector works harder while decisions are simulated.
const decisionsMemory = 6 << 30

// scaleCommand measures what grows with the fleet (docs/CAPACITY.md).
func scaleCommand() *cobra.Command {
	asJSON := false
	c := &cobra.Command{Use: "scale", Short: "Measure how costs grow with the size of the fleet (docs/CAPACITY.md)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("want list, watch, decisions, connections, control or feed")
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

func scaleListCommand(asJSON *bool) *cobra.Command {
	hosts := []int{50, 200, 600, 1024}
	c := &cobra.Command{Use: "list", Short: "Host lists: processor time, heap and bytes of reading one and taking a change", Args: cobra.NoArgs,
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

func scaleDecisionsCommand(asJSON *bool) *cobra.Command {
	balancers, hosts, atOnce := []int{1, 30, 300, 1700}, scale.TargetHosts, 4
	only := []string{}
	warmUp, measured := 3*time.Second, time.Second
	c := &cobra.Command{Use: "decisions", Short: "Routing decisions: how evenly many balancers load one set of hosts", Args: cobra.NoArgs,
		Long: "Play the decisions of many balancers over one set of hosts in simulated time, with the whole load held constant. All scenarios\n" +
			"together take several minutes of processor time; --only and --balancers choose some.",
		RunE: func(c *cobra.Command, _ []string) error {
			debug.SetMemoryLimit(decisionsMemory)
			all := scale.Scenarios(balancers, hosts, float64(warmUp.Milliseconds()), float64(measured.Milliseconds()))
			if len(only) > 0 {
				all = slices.DeleteFunc(all, func(s scale.Scenario) bool { return !slices.Contains(only, s.Name) })
			}
			result, err := scale.MeasureDecisions(all, atOnce)
			if err != nil {
				return err
			}
			return printResult(c.OutOrStdout(), result, *asJSON)
		}}
	c.Flags().IntSliceVar(&balancers, "balancers", balancers, "numbers of balancers; variants are played with the last")
	c.Flags().IntVar(&hosts, "hosts", hosts, "cache hosts; the load of each stays the same")
	c.Flags().IntVar(&atOnce, "at-once", atOnce, "scenarios played at once")
	c.Flags().StringArrayVar(&only, "only", only, "only the scenario of this name; may be given several times")
	c.Flags().DurationVar(&warmUp, "warm-up", warmUp, "simulated time before measuring")
	c.Flags().DurationVar(&measured, "for", measured, "simulated time that is measured")
	return c
}

func scaleWatchCommand(asJSON *bool) *cobra.Command {
	balancers := []int{50, 200, 600, 1700}
	config := scale.WatchConfig{Hosts: scale.TargetHosts, IdleDuration: 4 * time.Second, OutageDuration: 3 * time.Second}
	c := &cobra.Command{Use: "watch", Short: "The watch on discovery: many hollow balancers, one real one beside them", Args: cobra.NoArgs,
		Long: "Run the real loop, router and watch of many balancers without clients in this process, on loopback sockets, and one real\n" +
			"process beside them. Takes about a minute.",
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
	c.Flags().IntVar(&config.Hosts, "hosts", config.Hosts, "cache hosts on the list")
	c.Flags().DurationVar(&config.IdleDuration, "idle", config.IdleDuration, "how long the idle watch is measured")
	c.Flags().DurationVar(&config.OutageDuration, "absence", config.OutageDuration, "how long discovery is away")
	return c
}

func scaleConnectionsCommand(asJSON *bool) *cobra.Command {
	config := scale.ConnectionsConfig{Hosts: scale.TargetHosts}
	c := &cobra.Command{Use: "connections", Short: "Descriptors, memory and processor time of one real balancer's connections", Args: cobra.NoArgs,
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

func scaleControlCommand(asJSON *bool) *cobra.Command {
	balancers := scale.TargetBalancers
	c := &cobra.Command{Use: "control", Short: "Ways to carry settings and purges to all balancers, reckoned", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printResult(c.OutOrStdout(), scale.CompareControl(balancers), *asJSON)
		}}
	c.Flags().IntVar(&balancers, "balancers", balancers, "how many there are")
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
