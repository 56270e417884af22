package takeover

import (
	"slices"

	"larchthread/balance"
	"larchthread/internal/transport"
)

const maxItemsPerMessage = 500 // ids, hosts or categories: usually some tens of KB; long names reduce it

// sendInParts splits a whole into parts of up to maxItems items and sends a message for each. A part whose message is
// too long is split further.
func sendInParts[T any](channel *transport.ControlChannel, whole T, maxItems int, split func(whole T, maxItems int) []T,
	toMessage func(part T) message) {
	for _, part := range split(whole, maxItems) {
		data := encode(toMessage(part))
		if len(data) <= transport.MaxMessageBytes || maxItems == 1 {
			channel.Send(data, -1)
			continue
		}
		sendInParts(channel, part, maxItems/2, split, toMessage)
	}
}

// sendList sends a list in as many messages as necessary.
func sendList[T any](channel *transport.ControlChannel, items []T, toMessage func(part []T) message) {
	sendInParts(channel, items, maxItemsPerMessage, splitList[T], toMessage)
}

// splitList splits a list into parts of up to maxItems items.
func splitList[T any](items []T, maxItems int) [][]T {
	return slices.Collect(slices.Chunk(items, maxItems))
}

// sendIDs sends hashes of ids in as many messages as necessary.
func sendIDs(channel *transport.ControlChannel, hashes []uint64) {
	sendList(channel, hashes, func(part []uint64) message { return message{Kind: kindIDs, IDs: part} })
}

// sendLearned sends what the balancer has learned in as many messages as necessary.
func sendLearned(channel *transport.ControlChannel, learned balance.Learned) {
	sendInParts(channel, learned, maxItemsPerMessage, balance.Learned.Split, func(part balance.Learned) message {
		return message{Kind: kindLearned, Learned: &part}
	})
}
