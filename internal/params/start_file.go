package params

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
)

// StartFile holds the start file of a real balancer.
type StartFile struct {
	Name       string
	Listen     netip.AddrPort
	Discovery  netip.AddrPort
	Admin      netip.AddrPort // address for operators' requests; not valid where none is set
	Seed       uint64
	MemoryMB   float64
	Sockets    int
	KnownHosts json.RawMessage // host list last received, in discovery's form
	Params     Params
}

// ReadStartFile reads a start file. The error lists all that is wrong, each with its key.
func ReadStartFile(path string) (*StartFile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("start file: %w", err)
	}
	t, err := parseStartFile(raw)
	if err != nil {
		return nil, prefixAll("start file "+path, err)
	}
	return t, nil
}

// parseStartFile parses the text of a start file. The address for operators is taken from RELAY_ADMIN where the file
// has none.
func parseStartFile(raw []byte) (*StartFile, error) {
	var form struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"admin"`
		Seed      string          `json:"seed"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Limits    struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64 `json:"sockets"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw, &form); err != nil {
		if syntaxErr := (*json.SyntaxError)(nil); errors.As(err, &syntaxErr) {
			return nil, fmt.Errorf("line %d: %w", 1+bytes.Count(raw[:max(syntaxErr.Offset-1, 0)], []byte("\n")), err)
		}
		return nil, err
	}
	t := &StartFile{Name: form.Name, MemoryMB: form.Limits.MemoryMB, KnownHosts: form.Known}
	var f errorList
	address := func(key, text string) netip.AddrPort {
		a, err := netip.ParseAddrPort(text)
		f.addIf(err != nil, "%s: %q, want an address with a port", key, text)
		return a
	}
	t.Listen = address("listen", form.Listen)
	t.Discovery = address("discovery", form.Discovery)
	if form.Admin == "" {
		form.Admin = os.Getenv("RELAY_ADMIN")
	}
	if form.Admin != "" {
		t.Admin = address("admin", form.Admin)
	}
	var err error
	t.Seed, err = strconv.ParseUint(form.Seed, 16, 64)
	f.addIf(err != nil, "seed: %q, want hex digits of 64 bits", form.Seed)
	f.addIf(t.MemoryMB <= 0, "limits.memory_mb: %v, want above 0", t.MemoryMB)
	sockets := form.Limits.Sockets
	f.addIf(sockets < 1 || sockets > math.MaxInt32, "limits.sockets: %v, want 1 or more", sockets)
	t.Sockets = int(sockets)
	if t.Params, err = Parse(form.Settings); err != nil {
		f = append(f, prefixAll("settings", err))
	}
	return t, f.join()
}
