package takeover

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/transport"
)

const maxItems = 500 // ids, hosts or categories in a message: usually some tens of KB; fewer where they take more

// sendParts sends a list in as many messages as it takes.
func sendParts[T any](c *transport.ControlChannel, items []T, write func(part []T) message) {
	for part := range slices.Chunk(items, maxItems) {
		sendHalves(c, part, write)
	}
}

// sendHalves sends a part of a list, by halves where its message would be too long.
func sendHalves[T any](c *transport.ControlChannel, items []T, write func(part []T) message) {
	data := encode(write(items))
	if len(data) <= transport.MaxMessageBytes || len(items) == 1 {
		c.Send(data, -1)
		return
	}
	half := len(items) / 2
	sendHalves(c, items[:half], write)
	sendHalves(c, items[half:], write)
}

// sendLearned sends what was learned in parts of at most so many categories or hosts, or fewer where a message would be too
// long.
func sendLearned(c *transport.ControlChannel, all balance.Learned, most int) {
	for _, part := range all.Split(most) {
		data := encode(message{Kind: kindLearned, Learned: &part})
		if len(data) <= transport.MaxMessageBytes || most == 1 {
			c.Send(data, -1)
			continue
		}
		sendLearned(c, part, most/2)
	}
}
