package feed

// prefixBits is how many of a key's first bits stand for it in a PrefixSet. Of 130 million objects about eight share a
// prefix.
const prefixBits = 24

// minEventKeyLength is the shortest key of a kind without a latest state: it holds a whole prefix.
const minEventKeyLength = prefixBits / 8

// keyPrefix returns the first bits of a key as a number. Bits past the key's end are zero.
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
