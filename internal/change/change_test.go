package change

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"larchthread/internal/inventory"
)

var (
	oldFile  = File{"old.csv", "id,address\na,10.0.0.1:1\nb,10.0.0.2:1\n"}
	nextFile = File{"next.yaml", "hosts:\n- {id: a, address: '10.0.0.1:1'}\n- {id: c, address: '10.0.0.3:1'}\n"}
)

var errCrashed = errors.New("died")

// crashingStore is a Store whose save number crashAt (from 1) fails, before or after the record is persisted.
type crashingStore struct {
	record    []byte
	saves     int
	crashAt   int
	persisted bool
}

func (s *crashingStore) Save(r []byte) error {
	s.saves++
	if s.saves != s.crashAt {
		s.record = r
		return nil
	}
	if s.persisted {
		s.record = r
	}
	return errCrashed
}

func (s *crashingStore) Load() ([]byte, error) { return s.record, nil }

// ids returns the ids of hosts.
func ids(hosts []inventory.Host) (all []string) {
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return all
}

// printChange prints the status of the change, the active list and an error.
func printChange(c *Manager, err error) {
	r := c.Status()
	fmt.Println(r.Number, r.State, ids(c.Hosts()), r.Reason, err)
}

// mustOpen opens a store, with oldFile as the initial file, and prints an error.
func mustOpen(s Store) *Manager {
	c, err := Open(s, oldFile)
	if err != nil {
		fmt.Println(err)
	}
	return c
}

// runTicks calls Tick once a second, with 100 ops each of which acked succeed, until it fails. It returns the time of the
// last call in milliseconds.
func runTicks(c *Manager, from, seconds, acked int) (at float64, err error) {
	for s := 0; s < seconds && err == nil; s++ {
		at = float64(from+s+1) * 1000
		err = c.Tick(at, acked, 100)
	}
	return at, err
}

// A change goes from staged to applied to confirmed while the success rate holds. A second change, one without an effect and
// one that cannot be parsed are refused.
func Example() {
	c := mustOpen(&crashingStore{})
	runTicks(c, 0, 20, 98)
	_, err := c.Propose(File{"bad.csv", "id,address\na,nowhere\n"})
	printChange(c, err)
	_, err = c.Propose(oldFile)
	printChange(c, err)
	diff, err := c.Propose(nextFile)
	fmt.Println(diff)
	printChange(c, err)
	_, err = c.Propose(nextFile)
	printChange(c, err)
	printChange(c, c.Apply(20000))
	printChange(c, c.Apply(20000))
	_, err = runTicks(c, 20, 9, 97)
	printChange(c, err)
	_, err = runTicks(c, 29, 1, 97)
	printChange(c, err)
	printChange(c, c.Undo("too late"))
	// Output:
	// 0  [a b]  bad.csv:2: address: "nowhere", want an IP address with a port
	// 0  [a b]  the file does not change the inventory
	// [- b 10.0.0.2:1   1 + c 10.0.0.3:1   1]
	// 1 staged [a b]  <nil>
	// 1 staged [a b]  another change is in progress: change 1 is staged
	// 1 applied [a c]  <nil>
	// 1 applied [a c]  no change is in progress
	// 1 applied [a c]  <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.970 <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.970 no change is in progress
}

// A change under which the success rate drops is undone within seconds. One with a drop within the tolerance, or with too
// few ops to judge, is confirmed.
func Example_undone() {
	for _, acked := range []int{60, 90, 96} {
		c := mustOpen(&crashingStore{})
		runTicks(c, 0, 20, 98)
		c.Propose(nextFile)
		c.Apply(20000)
		at, n := 0.0, 0
		for c.Status().State == Applied && n < 20 {
			at, _ = runTicks(c, 20+n, 1, acked)
			n++
		}
		fmt.Print(acked, " of 100, after ", at-20000, " ms: ")
		printChange(c, nil)
	}
	c := mustOpen(&crashingStore{})
	runTicks(c, 0, 20, 98)
	c.Propose(nextFile)
	c.Apply(20000)
	for s := range 60 {
		if c.Tick(float64(21+s)*1000, 0, s/59); s >= 58 { // a single op
			printChange(c, nil)
		}
	}
	c.Propose(oldFile)
	c.Apply(80000)
	for s := range 20 { // few ops, but all of them fail
		c.Tick(float64(81+s)*1000, 0, 2)
	}
	printChange(c, nil)
	// Output:
	// 60 of 100, after 1000 ms: 1 undone [a b] service fell from 0.980 to 0.600 <nil>
	// 90 of 100, after 1000 ms: 1 undone [a b] service fell from 0.980 to 0.900 <nil>
	// 96 of 100, after 10000 ms: 1 confirmed [a c] service went from 0.980 to 0.960 <nil>
	// 1 applied [a c]  <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.000 <nil>
	// 2 undone [a c] service fell from 0.979 to 0.000 <nil>
}

// After a crash at any step, before or after the record is persisted, either the old list or the new one is active, and the
// next change can be proposed.
func Example_death() {
	for crashAt := 1; crashAt <= 3; crashAt++ {
		for _, persisted := range []bool{false, true} {
			m := &crashingStore{crashAt: crashAt, persisted: persisted}
			c := mustOpen(m)
			runTicks(c, 0, 20, 98)
			_, err := c.Propose(nextFile)
			if err == nil {
				err = c.Apply(20000)
			}
			if err == nil {
				_, err = runTicks(c, 20, 20, 98)
			}
			fmt.Println("step", crashAt, "kept", persisted, errors.Is(err, errCrashed), "as", fmt.Sprintf("%q", c.Status().State))
			c = mustOpen(m)
			printChange(c, nil)
			other := nextFile
			if slices.Equal(ids(c.Hosts()), []string{"a", "c"}) {
				other = oldFile
			}
			_, err = c.Propose(other)
			fmt.Println("  then", c.Status().State, err)
		}
	}
	// Output:
	// step 1 kept false true as ""
	// 0  [a b]  <nil>
	//   then staged <nil>
	// step 1 kept true true as ""
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	//   then staged <nil>
	// step 2 kept false true as "staged"
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	//   then staged <nil>
	// step 2 kept true true as "staged"
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	//   then staged <nil>
	// step 3 kept false true as "applied"
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	//   then staged <nil>
	// step 3 kept true true as "applied"
	// 1 confirmed [a c] service went from 0.980 to 0.980 <nil>
	//   then staged <nil>
}

// A temporary file that a crash left behind does not affect the record; a corrupt record is an error, a missing directory is
// not.
func ExampleDirectoryStore() {
	dir, err := os.MkdirTemp("", "change")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	c := mustOpen(DirectoryStore(dir))
	_, err = c.Propose(nextFile)
	printChange(c, err)
	printChange(c, c.Apply(0))
	os.WriteFile(filepath.Join(dir, recordName+".new"), []byte(`{"num`), 0o600)
	c = mustOpen(DirectoryStore(dir))
	printChange(c, nil)
	os.WriteFile(filepath.Join(dir, recordName), []byte("torn"), 0o600)
	_, err = Open(DirectoryStore(dir), oldFile)
	fmt.Println(err)
	_, err = Open(DirectoryStore(filepath.Join(dir, "none")), oldFile)
	c = mustOpen(DirectoryStore(filepath.Join(dir, "none")))
	_, proposed := c.Propose(nextFile)
	fmt.Println(err, proposed != nil, c.Status().State == None)
	// Output:
	// 1 staged [a b]  <nil>
	// 1 applied [a c]  <nil>
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	// decode the change record: invalid character 'o' in literal true (expecting 'r')
	// <nil> true true
}
