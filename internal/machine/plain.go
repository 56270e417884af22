//go:build !faults

package machine

import "time"

// LocalFileSystem is the files of this machine.
func LocalFileSystem() FileSystem { return disk{} }

func off() time.Duration { return 0 }
