//go:build !faults

package machine

import "time"

// LocalFileSystem returns the file system of this machine.
func LocalFileSystem() FileSystem { return osFileSystem{} }

// clockOffset returns 0: this build injects no clock fault.
func clockOffset() time.Duration { return 0 }
