// Command drill runs the routing decisions of the balancer for a simulator, which sends events on standard input and
// reads actions from standard output.
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
