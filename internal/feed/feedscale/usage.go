package feedscale

import (
	"runtime"
	"syscall"
	"time"
)

// processCPUTime returns the user and system CPU time of the calling process, or 0 if it cannot be read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use by the calling process, after a garbage collection.
func memoryInUse() int {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int(memory.HeapAlloc + memory.StackInuse)
}

// messageCounts holds sums of the subscribers' own counters.
type messageCounts struct {
	MessagesReceived, MessagesSent uint64
	Dials                          uint64
}

// subtract returns the counts since an earlier reading.
func (c messageCounts) subtract(before messageCounts) messageCounts {
	return messageCounts{c.MessagesReceived - before.MessagesReceived, c.MessagesSent - before.MessagesSent, c.Dials - before.Dials}
}

// countMessages sums the counters of all subscribers.
func (f *fleet) countMessages() (sum messageCounts) {
	for _, subscriber := range f.subscribers {
		counters := subscriber.server.Status().Counters
		sum.MessagesReceived += counters.FromParents.Messages
		sum.MessagesSent += counters.ToParents.Messages
		sum.Dials += counters.Dials
	}
	return sum
}
