package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// cpuTime returns the user and kernel processor time that this process has used so far.
func cpuTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("get processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// liveHeapBytes returns the size of all reachable heap objects, in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC() // the first collection may have begun before the last objects became unreachable
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// milliseconds returns a duration in milliseconds, in steps of one microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
