// Command drill runs the balancer's decisions on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"larchthread/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
