//go:build !faults

package machine

import "time"

// Disk is the files of this machine.
func Disk() Files { return disk{} }

func off() time.Duration { return 0 }
