package standin

import (
	"fmt"
	"math"
	"net"
	"time"
)

// Warming is how a host that has just started comes to its full power, and when it falls.
type Warming struct {
	InitialShare     float64       // part of its capacity at which it starts
	Duration         time.Duration // until it has all of it, evenly
	OverloadMultiple float64       // sent this many times what it can do
	OverloadWindow   time.Duration // in such a span, it falls over and stays down; never where Multiple is 0
}

// answer does the work of one command. cut: the connection is to be reset instead.
func (h *Host) answer(c net.Conn, k command) (answer string, cut bool) {
	now := h.fleet.Elapsed()
	run := ReceivedPush{Host: h.ID, ClientIP: from(c.RemoteAddr().String()), OpID: k.id, Key: k.key, Category: k.attr("c"), DedupMark: k.attr("k"),
		Write: k.write, ReceivedAt: now, Deadline: now + k.wait()}
	h.mu.Lock()
	if h.listener == nil {
		h.mu.Unlock()
		return "", true
	}
	share := h.warmth(now)
	if run.Cold = share < 1; run.Cold && h.tip(now, share) {
		run.CausedCrash, h.fell = true, true
		h.die()
	}
	full := h.waiting >= h.work.QueueLimit+h.work.Slots
	if !full {
		h.waiting++
	}
	takes := time.Duration(float64(h.work.ServiceTime) * (0.5 + h.rng.Float64()) * math.Max(h.mode.SlowFactor, 1) / share)
	fails, resets := h.rng.Float64() < h.mode.ErrorRate, h.rng.Float64() < h.mode.ResetRate
	value, kept := h.kept[k.key]
	slots := h.slots
	h.mu.Unlock()
	if run.CausedCrash {
		h.fleet.note(run)
		return "", true
	}
	if full {
		h.fleet.note(run)
		return "SERVER_ERROR busy\r\n", false
	}
	run.Executed = kept && !k.write
	h.fleet.note(run)
	alive := h.wait(slots, takes)
	h.mu.Lock()
	if h.slots == slots {
		h.waiting--
	}
	h.mu.Unlock()
	switch {
	case !alive || resets:
		return "", true
	case fails:
		return "SERVER_ERROR failed\r\n", false
	case !kept || k.write:
		h.fleet.miss(k.id, h)
		return fmt.Sprintf("EN O%s\r\n", k.id), false
	}
	return fmt.Sprintf("VA %d O%s\r\n%s\r\n", len(value), k.id, value), false
}

// wait takes a slot, works for so long, and waits on while the host hangs. It tells whether the process is alive still.
func (h *Host) wait(slots chan struct{}, takes time.Duration) bool {
	for taken := false; !taken; {
		alive, _, change := h.state(slots)
		if !alive {
			return false
		}
		select {
		case slots <- struct{}{}:
			taken = true
		case <-change:
		}
	}
	defer func() { <-slots }()
	if takes > 0 {
		time.Sleep(takes)
	}
	for {
		alive, hangs, change := h.state(slots)
		if !alive || !hangs {
			return alive
		}
		<-change
	}
}

// state tells whether the process that has these slots is alive, whether it hangs, and what is closed once either changes.
func (h *Host) state(slots chan struct{}) (alive, hangs bool, change <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listener != nil && h.slots == slots, h.mode.Hang, h.change
}

// warmth is the part of its capacity that the host has.
func (h *Host) warmth(now time.Duration) float64 {
	if age := now - h.started; h.started > 0 && age < h.warming.Duration {
		return h.warming.InitialShare + (1-h.warming.InitialShare)*float64(age)/float64(h.warming.Duration)
	}
	return 1
}

// tip counts what a cold host is sent, and tells whether it falls. It can do its capacity's part for a span, with slack for
// chance.
func (h *Host) tip(now time.Duration, share float64) bool {
	if h.warming.OverloadMultiple == 0 {
		return false
	}
	h.sent = append(h.sent, now)
	for len(h.sent) > 0 && now-h.sent[0] > h.warming.OverloadWindow {
		h.sent = h.sent[1:]
	}
	can := float64(h.work.Slots) * float64(h.warming.OverloadWindow) / float64(max(h.work.ServiceTime, time.Microsecond)) * share
	n := h.warming.OverloadMultiple * can
	return float64(len(h.sent)) > n+3*math.Sqrt(n)+3
}
