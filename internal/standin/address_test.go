package standin

import (
	"net/netip"
	"testing"
)

// Guards against two processes of a test that are given one address: the second can't listen on it.
func TestFreeAddressIsGivenOnce(t *testing.T) {
	given := map[netip.AddrPort]bool{}
	for range 1000 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("%v was returned twice", address)
		}
		given[address] = true
	}
}
