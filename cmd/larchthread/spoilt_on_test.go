//go:build faults

package main

const builtWithFaults = true
