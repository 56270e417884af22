package main

import (
	"errors"

	"github.com/spf13/cobra"
)

// scaleCommand groups the commands that show parts of the program at the size they are designed for.
func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale", Short: "Show parts at their full size on this machine", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("want feed") }}
	c.AddCommand(scaleFeedCommand())
	return c
}
