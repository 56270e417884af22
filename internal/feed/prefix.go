package feed

// prefixBits is the number of leading bits of a key that represent it in a PrefixSet. With 130 million objects, about eight
// share a prefix.
const prefixBits = 24

// minEventKeyLength is the minimum key length, in bytes, of a kind without state: the key must cover a whole prefix.
const minEventKeyLength = prefixBits / 8

// keyPrefix returns the leading bits of a key as a number. Bits beyond the end of the key are zero.
func keyPrefix(key []byte, bits int) uint64 {
	prefix := uint64(0)
	for i := range maxPrefixBits / 8 {
		prefix <<= 8
		if i < len(key) {
			prefix |= uint64(key[i])
		}
	}
	return prefix >> (maxPrefixBits - bits)
}
