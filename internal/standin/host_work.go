package standin

import (
	"fmt"
	"math"
	"net"
	"time"
)

// Warming describes how a restarted host reaches its full capacity, and under which load it crashes before that.
type Warming struct {
	InitialShare     float64       // fraction of the capacity that is available at the start
	Duration         time.Duration // of the linear rise to the full capacity
	OverloadMultiple float64       // a cold host crashes under this multiple of the load that it can handle
	OverloadWindow   time.Duration // over which the load is measured; no crashes if OverloadMultiple is 0
}

// execute executes a command and returns the answer; if reset is true, the connection has to be reset instead.
func (h *Host) execute(c net.Conn, cmd command) (answer string, reset bool) {
	now := h.fleet.Elapsed()
	push := ReceivedPush{Host: h.ID, ClientIP: clientIP(c.RemoteAddr().String()), OpID: cmd.opID, Key: cmd.key,
		Category: cmd.attr("c"), DedupMark: cmd.attr("k"), Write: cmd.write, ReceivedAt: now, Deadline: now + cmd.timeLeft()}
	h.mu.Lock()
	if h.listener == nil {
		h.mu.Unlock()
		return "", true
	}
	share := h.capacityShare(now)
	if push.Cold = share < 1; push.Cold && h.recordColdPush(now, share) {
		push.CausedCrash, h.crashed = true, true
		h.fleet.recordPush(push) // under the lock: who sees the crash finds its push
		h.killLocked()
	}
	full := h.pending >= h.capacity.QueueLimit+h.capacity.Slots
	if !full {
		h.pending++
	}
	serviceTime := time.Duration(float64(h.capacity.ServiceTime) * (0.5 + h.rng.Float64()) *
		math.Max(h.faultMode.SlowFactor, 1) / share)
	fails, resets := h.rng.Float64() < h.faultMode.ErrorRate, h.rng.Float64() < h.faultMode.ResetRate
	value, found := h.values[cmd.key]
	slots := h.slots
	h.mu.Unlock()
	if push.CausedCrash {
		return "", true
	}
	if full {
		h.fleet.recordPush(push)
		return "SERVER_ERROR busy\r\n", false
	}
	push.Executed = found && !cmd.write
	h.fleet.recordPush(push)
	alive := h.process(slots, serviceTime)
	h.mu.Lock()
	if h.slots == slots {
		h.pending--
	}
	h.mu.Unlock()
	switch {
	case !alive || resets:
		return "", true
	case fails:
		return "SERVER_ERROR failed\r\n", false
	case !found || cmd.write:
		h.fleet.recordMiss(cmd.opID, h)
		return fmt.Sprintf("EN O%s\r\n", cmd.opID), false
	}
	return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), cmd.opID, value), false
}

// process waits for a free slot, holds it for the service time, and then waits while the host hangs. It returns false if the
// host was killed while the op waited for a slot, or by the end of the service time or of the hang.
func (h *Host) process(slots chan struct{}, serviceTime time.Duration) bool {
	for taken := false; !taken; {
		alive, _, stateChanged := h.processState(slots)
		if !alive {
			return false
		}
		select {
		case slots <- struct{}{}:
			taken = true
		case <-stateChanged:
		}
	}
	defer func() { <-slots }()
	if serviceTime > 0 {
		time.Sleep(serviceTime)
	}
	for {
		alive, hanging, stateChanged := h.processState(slots)
		if !alive || !hanging {
			return alive
		}
		<-stateChanged
	}
}

// processState reports whether the host still runs since the start that made these slots, and whether it hangs. The channel
// is closed when either may have changed.
func (h *Host) processState(slots chan struct{}) (alive, hanging bool, stateChanged <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listener != nil && h.slots == slots, h.faultMode.Hang, h.stateChanged
}

// capacityShare returns the fraction of its capacity that the host has at a time: 1 if it is warm. The caller holds the lock.
func (h *Host) capacityShare(now time.Duration) float64 {
	if age := now - h.startedAt; h.startedAt > 0 && age < h.warming.Duration {
		return h.warming.InitialShare + (1-h.warming.InitialShare)*float64(age)/float64(h.warming.Duration)
	}
	return 1
}

// recordColdPush records a push to a cold host that has the given fraction of its capacity, and reports whether the host
// crashes: if the pushes in the overload window exceed the limit, with a margin for random arrivals. The caller holds the
// lock.
func (h *Host) recordColdPush(now time.Duration, share float64) bool {
	if h.warming.OverloadMultiple == 0 {
		return false
	}
	h.recentPushes = append(h.recentPushes, now)
	for len(h.recentPushes) > 0 && now-h.recentPushes[0] > h.warming.OverloadWindow {
		h.recentPushes = h.recentPushes[1:]
	}
	capacity := float64(h.capacity.Slots) * float64(h.warming.OverloadWindow) /
		float64(max(h.capacity.ServiceTime, time.Microsecond)) * share
	limit := h.warming.OverloadMultiple * capacity
	return float64(len(h.recentPushes)) > limit+3*math.Sqrt(limit)+3
}
