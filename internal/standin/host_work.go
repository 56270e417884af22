package standin

import (
	"fmt"
	"math"
	"net"
	"time"
)

// Warming is how a host that has just started comes to its full power, and when it falls.
type Warming struct {
	Share    float64       // part of its capacity at which it starts
	For      time.Duration // until it has all of it, evenly
	Multiple float64       // sent this many times what it can do
	Within   time.Duration // in such a span, it falls over and stays down; never where Multiple is 0
}

// answer does the work of one command. cut: the connection is to be reset instead.
func (h *Host) answer(c net.Conn, k command) (answer string, cut bool) {
	now := h.fleet.Now()
	run := Run{Host: h.ID, From: from(c.RemoteAddr().String()), ID: k.id, Key: k.key, Category: k.attr("c"), Mark: k.attr("k"),
		Write: k.write, Came: now, Due: now + k.wait()}
	h.mu.Lock()
	if h.listener == nil {
		h.mu.Unlock()
		return "", true
	}
	share := h.warmth(now)
	if run.Cold = share < 1; run.Cold && h.tip(now, share) {
		run.Fell, h.fell = true, true
		h.die()
	}
	full := h.waiting >= h.work.Queue+h.work.Slots
	if !full {
		h.waiting++
	}
	takes := time.Duration(float64(h.work.Takes) * (0.5 + h.rng.Float64()) * math.Max(h.mode.Slow, 1) / share)
	fails, resets := h.rng.Float64() < h.mode.Errors, h.rng.Float64() < h.mode.Resets
	value, kept := h.kept[k.key]
	slots := h.slots
	h.mu.Unlock()
	if run.Fell {
		h.fleet.note(run)
		return "", true
	}
	if full {
		h.fleet.note(run)
		return "SERVER_ERROR busy\r\n", false
	}
	run.Ran = kept && !k.write
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
	if age := now - h.started; h.started > 0 && age < h.warming.For {
		return h.warming.Share + (1-h.warming.Share)*float64(age)/float64(h.warming.For)
	}
	return 1
}

// tip counts what a cold host is sent, and tells whether it falls. It can do its capacity's part for a span, with slack for
// chance.
func (h *Host) tip(now time.Duration, share float64) bool {
	if h.warming.Multiple == 0 {
		return false
	}
	h.sent = append(h.sent, now)
	for len(h.sent) > 0 && now-h.sent[0] > h.warming.Within {
		h.sent = h.sent[1:]
	}
	can := float64(h.work.Slots) * float64(h.warming.Within) / float64(max(h.work.Takes, time.Microsecond)) * share
	n := h.warming.Multiple * can
	return float64(len(h.sent)) > n+3*math.Sqrt(n)+3
}
