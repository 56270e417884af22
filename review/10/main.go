// Command case10 plays case 10 of the review.
package main

import (
	"os"

	"larchthread/review/rig2"
)

func main() { os.Exit(rig2.Play("review/10", rig2.Pipeline)) }
