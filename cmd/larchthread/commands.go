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

// Exit codes.
const (
	exitFailure = 1 // what was asked about is refused, or differs; the balancer could not serve
	exitUsage   = 2 // called wrongly, or a file to compare can't be used
)

// exitError is an error that has been told already; only the code is left.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// newRootCommand is the program's command line. Without a word it serves, as it did before there were words.
func newRootCommand() *cobra.Command {
	own := ""
	run := func(c *cobra.Command, _ []string) error {
		path, set := os.LookupEnv("RELAY_CONFIG")
		err := errors.New("RELAY_CONFIG is not set: set it to the path of the start file (README, \"Start a balancer\")")
		if set && path != "" {
			err = serve(path, own)
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
	serving := &cobra.Command{Use: "serve", Short: "Serve, by the start file that RELAY_CONFIG names", Args: cobra.NoArgs, RunE: run,
		Example: "  RELAY_CONFIG=/run/balancer/config.json larchthread serve --own deploy/own.yaml"}
	serving.Flags().StringVar(&own, "own", "", "the installation's own file: where the inventory stands")
	root.AddCommand(serving, inventoryCommand(), configCommand(), versionCommand(), trialCommand(), tryCommand(), controlCommand(), scaleCommand())
	return root
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Look at start files, own files and control files", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("want check") }}
	c.AddCommand(&cobra.Command{Use: "check FILE...", Short: "Say whether files can be used, and every fault by its key",
		Long: "Say whether files can be used, and every fault by its key. A file named .yaml or .yml is taken for an installation's\n" +
			"own file, and the inventory that it names is looked at too, or for a control file where it has the key control;\n" +
			"any other is taken for a start file.",
		Args: cobra.MinimumNArgs(1), Example: "  larchthread config check /run/balancer/config.json deploy/own.yaml deploy/control.yaml",
		RunE: func(c *cobra.Command, files []string) error { return check(c, files, checkConfigFile) }})
	return c
}

// checkConfigFile reads a start file or an own file, and says what it holds.
func checkConfigFile(file string) (string, error) {
	if ext := strings.ToLower(filepath.Ext(file)); ext != ".yaml" && ext != ".yml" {
		told, err := params.ReadStartFile(file)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("a start file, listens on %v, categories: %d", told.Listen, len(told.Params.Categories)), nil
	}
	if text, err := os.ReadFile(file); err == nil && isControlFile(text) {
		return checkControlFile(file)
	}
	own, err := params.ReadOperatorFile(file)
	switch {
	case err != nil:
		return "", err
	case own.InventoryPath == "":
		return "an own file, hosts by discovery", nil
	}
	hosts, err := inventory.Load(own.InventoryPath)
	return fmt.Sprintf("an own file, %d hosts by %s", len(hosts), own.InventoryPath), err
}

// check looks at each file in turn, and ends with a code that tells whether one was refused.
func check(c *cobra.Command, files []string, look func(string) (string, error)) error {
	bad := false
	for _, f := range files {
		found, err := look(f)
		if err != nil {
			bad = true
			fmt.Fprintln(c.ErrOrStderr(), err)
			continue
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", f, found)
	}
	if bad {
		return exitError(exitFailure)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				fmt.Fprintln(c.ErrOrStderr(), "larchthread: built without information on the build")
				return exitError(exitFailure)
			}
			fmt.Fprintln(c.OutOrStdout(), version(info))
			return nil
		}}
}

// version is a build in one line: the module's version, the commit where the build knows it, and the toolchain.
func version(info *debug.BuildInfo) string {
	told := map[string]string{}
	for _, s := range info.Settings {
		told[s.Key] = s.Value
	}
	text := "larchthread " + cmp.Or(info.Main.Version, "(devel)")
	if r := told["vcs.revision"]; r != "" {
		text += " commit " + r + " of " + told["vcs.time"]
		if told["vcs.modified"] == "true" {
			text += ", with changes"
		}
	}
	return text + " " + info.GoVersion + " " + told["GOOS"] + "/" + told["GOARCH"]
}

func inventoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "inventory", Short: "Look at inventory files (docs/inventory.md)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("want check or diff") }}
	c.AddCommand(
		&cobra.Command{Use: "check FILE...", Short: "Say whether files can be used, and what is wrong by line", Args: cobra.MinimumNArgs(1),
			Example: "  larchthread inventory check fleet.csv other.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				return check(c, files, func(file string) (string, error) {
					hosts, err := inventory.Load(file)
					return fmt.Sprintf("%d hosts", len(hosts)), err
				})
			}},
		&cobra.Command{Use: "diff OLD NEW", Short: "Say what changes from one file to the other", Args: cobra.ExactArgs(2),
			Example: "  larchthread inventory diff fleet.csv fleet.yaml",
			RunE: func(c *cobra.Command, files []string) error {
				var lists [2][]inventory.Host
				for i, f := range files {
					hosts, err := inventory.Load(f)
					if err != nil {
						fmt.Fprintln(c.ErrOrStderr(), err)
						return exitError(exitUsage)
					}
					lists[i] = hosts
				}
				changes := inventory.Diff(lists[0], lists[1])
				for _, x := range changes {
					fmt.Fprintln(c.OutOrStdout(), x)
				}
				if len(changes) > 0 {
					return exitError(exitFailure)
				}
				return nil
			}})
	return c
}

// execute runs the command line and returns the exit code.
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
