package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"larchthread/internal/inventory"
)

// Exit codes.
const (
	exitFound = 1 // what was asked about is refused, or differs; the balancer could not serve
	exitUsage = 2 // called wrongly, or a file to compare can't be used
)

// exit is an error that has been told already; only the code is left.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// command is the program's command line. Without a word it serves, as it did before there were words.
func command() *cobra.Command {
	own := ""
	run := func(*cobra.Command, []string) error {
		if err := serve(os.Getenv("RELAY_CONFIG"), own); err != nil {
			fmt.Fprintln(os.Stderr, "larchthread:", err)
			return exit(exitFound)
		}
		return nil
	}
	root := &cobra.Command{Use: "larchthread", Short: "A router for fleets of cache servers", Args: cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true, RunE: run,
		Example: "  RELAY_CONFIG=/run/balancer/config.json larchthread\n  larchthread inventory check fleet.csv"}
	root.CompletionOptions.DisableDefaultCmd = true
	serving := &cobra.Command{Use: "serve", Short: "Serve, by the start file that RELAY_CONFIG names", Args: cobra.NoArgs, RunE: run,
		Example: "  RELAY_CONFIG=/run/balancer/config.json larchthread serve --own deploy/own.yaml"}
	serving.Flags().StringVar(&own, "own", "", "the installation's own file: where the inventory stands")
	root.AddCommand(serving, inventoryCommand())
	return root
}

func inventoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "inventory", Short: "Look at inventory files (docs/inventory.md)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("want check or diff") }}
	c.AddCommand(
		&cobra.Command{Use: "check FILE...", Short: "Say whether files can be used, and what is wrong by line", Args: cobra.MinimumNArgs(1),
			Example: "  larchthread inventory check fleet.csv other.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				bad := false
				for _, f := range files {
					hosts, err := inventory.Load(f)
					if err != nil {
						bad = true
						fmt.Fprintln(c.ErrOrStderr(), err)
						continue
					}
					fmt.Fprintf(c.OutOrStdout(), "%s: %d hosts\n", f, len(hosts))
				}
				if bad {
					return exit(exitFound)
				}
				return nil
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "Say what changes from one file to the other", Args: cobra.ExactArgs(2),
			Example: "  larchthread inventory diff fleet.csv fleet.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				var lists [2][]inventory.Host
				for i, f := range files {
					hosts, err := inventory.Load(f)
					if err != nil {
						fmt.Fprintln(c.ErrOrStderr(), err)
						return exit(exitUsage)
					}
					lists[i] = hosts
				}
				changes := inventory.Diff(lists[0], lists[1])
				for _, x := range changes {
					fmt.Fprintln(c.OutOrStdout(), x)
				}
				if len(changes) > 0 {
					return exit(exitFound)
				}
				return nil
			}})
	return c
}

// execute runs the command line and returns the exit code.
func execute(c *cobra.Command) int {
	err := c.Execute()
	var code exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintf(c.ErrOrStderr(), "larchthread: %v\nsee larchthread --help\n", err)
	return exitUsage
}
