package takeover

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/transport"
)

const maxItems = 500 // ids, hosts or categories in a message: usually some tens of KB; fewer where they take more

// sendInParts cuts a whole into parts of at most so many items and sends a message for each. A part whose message would be too
// long is cut into parts of half as many.
func sendInParts[T any](c *transport.ControlChannel, whole T, most int, split func(whole T, most int) []T, write func(part T) message) {
	for _, part := range split(whole, most) {
		data := encode(write(part))
		if len(data) <= transport.MaxMessageBytes || most == 1 {
			c.Send(data, -1)
			continue
		}
		sendInParts(c, part, most/2, split, write)
	}
}

// sendList sends a list in as many messages as it takes.
func sendList[T any](c *transport.ControlChannel, items []T, write func(part []T) message) {
	sendInParts(c, items, maxItems, chunks[T], write)
}

// chunks cuts a list into parts of at most so many items.
func chunks[T any](items []T, most int) [][]T { return slices.Collect(slices.Chunk(items, most)) }

// sendLearned sends what was learned in as many messages as it takes.
func sendLearned(c *transport.ControlChannel, learned balance.Learned) {
	sendInParts(c, learned, maxItems, balance.Learned.Split, func(part balance.Learned) message {
		return message{Kind: kindLearned, Learned: &part}
	})
}
