package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is the processor time that this process has used so far, in user and kernel mode.
func processorTime() (time.Duration, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// liveHeap is the size of all reachable heap objects, in bytes.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // the first collection may have begun before the last objects became unreachable
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
