package feedscale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick       = 10 * time.Millisecond // of the times in /proc: 100 a second on all of Linux's platforms that Go has
	userTimeField   = 11                    // of /proc/PID/stat, counted behind the command's name
	systemTimeField = 12
)

// usageOf reads what a process has used from /proc.
func usageOf(pid int) (processUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	_, behindName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(behindName)
	if len(fields) <= systemTimeField {
		return processUsage{}, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	var ticks int64
	for _, field := range []string{fields[userTimeField], fields[systemTimeField]} {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return processUsage{}, err
		}
		ticks += count
	}
	resident, err := greatestResident(pid)
	return processUsage{time.Duration(ticks) * clockTick, resident}, err
}

// greatestResident is the most memory that a process has had resident, in bytes.
func greatestResident(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, is := strings.CutPrefix(line, "VmHWM:"); is {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status: no VmHWM", pid)
}
