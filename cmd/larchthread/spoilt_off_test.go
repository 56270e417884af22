//go:build !faults

package main

const builtWithFaults = false
