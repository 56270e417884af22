package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"larchthread/internal/inventory"
	"larchthread/internal/params"
)

// Exit codes other than 0 for success.
const (
	exitFailure = 1 // a check failed, inputs differ, or the process could not run
	exitUsage   = 2 // invalid command line, or an unusable input file
)

// exitError is an exit code for an error that has already been printed.
type exitError int

// Error returns the exit code as text.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// newRootCommand returns the command line of larchthread. Without a subcommand it serves, like the serve
// command.
func newRootCommand() *cobra.Command {
	operatorPath := ""
	run := func(c *cobra.Command, _ []string) error {
		path, set := os.LookupEnv("RELAY_CONFIG")
		err := errors.New("RELAY_CONFIG is not set: set it to the path of the start file (README, \"Start a balancer\")")
		if set && path != "" {
			err = serve(path, operatorPath)
		}
		if err != nil {
			fmt.Fprintln(c.ErrOrStderr(), "larchthread:", err)
			return exitError(exitFailure)
		}
		return nil
	}
	root := &cobra.Command{Use: "larchthread", Short: "A router for fleets of cache servers", Args: cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true, RunE: run,
		Example: "  RELAY_CONFIG=/run/balancer/config.json larchthread\n  larchthread inventory check fleet.csv"}
	root.CompletionOptions.DisableDefaultCmd = true
	serveCommand := &cobra.Command{Use: "serve", Short: "Serve with the start file named by RELAY_CONFIG", Args: cobra.NoArgs,
		RunE:    run,
		Example: "  RELAY_CONFIG=/run/balancer/config.json larchthread serve --own deploy/own.yaml"}
	serveCommand.Flags().StringVar(&operatorPath, "own", "", "path of the own file, which names the inventory file")
	root.AddCommand(serveCommand, inventoryCommand(), configCommand(), versionCommand(), trialCommand(), tryCommand(),
		controlCommand(), scaleCommand())
	return root
}

// configCommand returns the command that checks configuration files.
func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check start files, own files and control files", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing subcommand: check") }}
	c.AddCommand(&cobra.Command{Use: "check FILE...", Short: "Validate files, and report each error with its key",
		Long: "Validate files, and report each error with its key. A file named .yaml or .yml is read as a control file if it has\n" +
			"the key control. Otherwise it is read as an own file, and the inventory file that it names is validated too.\n" +
			"All other files are read as start files.",
		Args:    cobra.MinimumNArgs(1),
		Example: "  larchthread config check /run/balancer/config.json deploy/own.yaml deploy/control.yaml",
		RunE:    func(c *cobra.Command, files []string) error { return checkFiles(c, files, checkConfigFile) }})
	return c
}

// checkConfigFile validates a start file, own file or control file, chosen by its extension and content, and
// returns a one-line summary.
func checkConfigFile(file string) (string, error) {
	if ext := strings.ToLower(filepath.Ext(file)); ext != ".yaml" && ext != ".yml" {
		startFile, err := params.ReadStartFile(file)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("a start file, listens on %v, categories: %d", startFile.Listen, len(startFile.Params.Categories)), nil
	}
	if text, err := os.ReadFile(file); err == nil && isControlFile(text) {
		return checkControlFile(file)
	}
	operatorFile, err := params.ReadOperatorFile(file)
	switch {
	case err != nil:
		return "", err
	case operatorFile.InventoryPath == "":
		return "an own file, hosts by discovery", nil
	}
	hosts, err := inventory.Load(operatorFile.InventoryPath)
	return fmt.Sprintf("an own file, %d hosts by %s", len(hosts), operatorFile.InventoryPath), err
}

// checkFiles runs inspect on each file, printing its summary to standard output or its error to standard error.
// It returns exitFailure if any file was rejected.
func checkFiles(c *cobra.Command, files []string, inspect func(string) (string, error)) error {
	failed := false
	for _, f := range files {
		summary, err := inspect(f)
		if err != nil {
			failed = true
			fmt.Fprintln(c.ErrOrStderr(), err)
			continue
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", f, summary)
	}
	if failed {
		return exitError(exitFailure)
	}
	return nil
}

// versionCommand returns the command that prints the version.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version of this build", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Fprintln(c.ErrOrStderr(), "larchthread: no build information available")
				return exitError(exitFailure)
			}
			fmt.Fprintln(c.OutOrStdout(), buildVersion(info))
			return nil
		}}
}

// buildVersion formats a build as one line: module version, commit if recorded, Go version and platform.
func buildVersion(info *debug.BuildInfo) string {
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	text := "larchthread " + cmp.Or(info.Main.Version, "(devel)")
	if r := settings["vcs.revision"]; r != "" {
		text += " commit " + r + " of " + settings["vcs.time"]
		if settings["vcs.modified"] == "true" {
			text += ", with changes"
		}
	}
	return text + " " + info.GoVersion + " " + settings["GOOS"] + "/" + settings["GOARCH"]
}

// inventoryCommand returns the command that checks and compares inventory files.
func inventoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "inventory", Short: "Check and compare inventory files (docs/inventory.md)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("missing subcommand: check or diff") }}
	c.AddCommand(
		&cobra.Command{Use: "check FILE...",
			Short:   "Validate files, and report each error with its line",
			Args:    cobra.MinimumNArgs(1),
			Example: "  larchthread inventory check fleet.csv other.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				return checkFiles(c, files, func(file string) (string, error) {
					hosts, err := inventory.Load(file)
					return fmt.Sprintf("%d hosts", len(hosts)), err
				})
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "List the changes from one file to the other", Args: cobra.ExactArgs(2),
			Example: "  larchthread inventory diff fleet.csv fleet.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				var inventories [2][]inventory.Host
				for i, f := range files {
					hosts, err := inventory.Load(f)
					if err != nil {
						fmt.Fprintln(c.ErrOrStderr(), err)
						return exitError(exitUsage)
					}
					inventories[i] = hosts
				}
				changes := inventory.Diff(inventories[0], inventories[1])
				for _, change := range changes {
					fmt.Fprintln(c.OutOrStdout(), change)
				}
				if len(changes) > 0 {
					return exitError(exitFailure)
				}
				return nil
			}})
	return c
}

// execute runs the command line and returns the process's exit code. Errors that are not an exitError are
// printed and count as wrong usage.
func execute(c *cobra.Command) int {
	err := c.Execute()
	var code exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintf(c.ErrOrStderr(), "larchthread: %v\nsee larchthread --help\n", err)
	return exitUsage
}
