package feedscale

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime is what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse is the heap and the stacks of this process after a collection.
func memoryInUse() int {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int(memory.HeapAlloc + memory.StackInuse)
}

// subscriberCounts sums up what the subscribers themselves count.
type subscriberCounts struct {
	MessagesReceived, MessagesSent uint64
	Dials                          uint64
}

func (c subscriberCounts) minus(before subscriberCounts) subscriberCounts {
	return subscriberCounts{c.MessagesReceived - before.MessagesReceived, c.MessagesSent - before.MessagesSent, c.Dials - before.Dials}
}

// countMessages asks all subscribers.
func (f *fleet) countMessages() (sum subscriberCounts) {
	for _, subscriber := range f.subscribers {
		counters := subscriber.server.Status().Counters
		sum.MessagesReceived += counters.FromParents.Messages
		sum.MessagesSent += counters.ToParents.Messages
		sum.Dials += counters.Dials
	}
	return sum
}
