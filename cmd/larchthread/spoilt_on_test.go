//go:build faults

package main

// builtWithFaults tells whether the tests are built with the tag faults.
const builtWithFaults = true
