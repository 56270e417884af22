// Command case7 plays case 7 of the review.
package main

import (
	"os"

	"larchthread/review/rig2"
)

func main() { os.Exit(rig2.Play("review/7", rig2.Memory)) }
