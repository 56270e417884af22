package feedscale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick       = 10 * time.Millisecond // unit of times in /proc, the same on all Linux platforms that Go supports
	userTimeField   = 11                    // index in /proc/PID/stat, counted after the command's name
	systemTimeField = 12
)

// usageOf reads the resource usage of a process from /proc.
func usageOf(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemTimeField {
		return processUsage{}, fmt.Errorf("/proc/%d/stat: too few fields", pid)
	}
	var ticks int64
	for _, field := range []string{fields[userTimeField], fields[systemTimeField]} {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return processUsage{}, err
		}
		ticks += count
	}
	resident, err := maxResident(pid)
	return processUsage{time.Duration(ticks) * clockTick, resident}, err
}

// maxResident reads the peak resident memory of a process from /proc, in bytes.
func maxResident(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status: VmHWM is missing", pid)
}
