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
	old  = File{"old.csv", "id,address\na,10.0.0.1:1\nb,10.0.0.2:1\n"}
	next = File{"next.yaml", "hosts:\n- {id: a, address: '10.0.0.1:1'}\n- {id: c, address: '10.0.0.3:1'}\n"}
)

var errDied = errors.New("died")

// memory is a store that dies at its nth save: before it is kept, or just after.
type memory struct {
	record []byte
	saves  int
	dies   int
	kept   bool
}

func (m *memory) Save(r []byte) error {
	m.saves++
	if m.saves != m.dies {
		m.record = r
		return nil
	}
	if m.kept {
		m.record = r
	}
	return errDied
}

func (m *memory) Load() ([]byte, error) { return m.record, nil }

func ids(hosts []inventory.Host) (all []string) {
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return all
}

func show(c *Manager, err error) {
	r := c.Status()
	fmt.Println(r.Number, r.State, ids(c.Hosts()), r.Reason, err)
}

func begin(s Store) *Manager {
	c, err := Open(s, old)
	if err != nil {
		fmt.Println(err)
	}
	return c
}

// serve tells of so many seconds of service: a hundred ops a second, so many of them acked.
func serve(c *Manager, from, seconds, acked int) (at float64, err error) {
	for s := 0; s < seconds && err == nil; s++ {
		at = float64(from+s+1) * 1000
		err = c.Tick(at, acked, 100)
	}
	return at, err
}

// A change goes from staged over applied to confirmed while service holds. Two at once: one wins, the other is told so. What
// changes nothing, or can't be read, is refused.
func Example() {
	c := begin(&memory{})
	serve(c, 0, 20, 98)
	_, err := c.Propose(File{"bad.csv", "id,address\na,nowhere\n"})
	show(c, err)
	_, err = c.Propose(old)
	show(c, err)
	diff, err := c.Propose(next)
	fmt.Println(diff)
	show(c, err)
	_, err = c.Propose(next)
	show(c, err)
	show(c, c.Apply(20000))
	show(c, c.Apply(20000))
	_, err = serve(c, 20, 9, 97)
	show(c, err)
	_, err = serve(c, 29, 1, 97)
	show(c, err)
	show(c, c.Undo("too late"))
	// Output:
	// 0  [a b]  bad.csv:2: address: "nowhere", want an IP address with a port
	// 0  [a b]  it changes nothing
	// [- b 10.0.0.2:1   1 + c 10.0.0.3:1   1]
	// 1 staged [a b]  <nil>
	// 1 staged [a b]  another change is under way: number 1 is staged
	// 1 applied [a c]  <nil>
	// 1 applied [a c]  no change is under way
	// 1 applied [a c]  <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.970 <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.970 no change is under way
}

// A change under which service falls is undone by itself within some seconds; one under which it falls by no more than chance
// brings is not, nor one with too few ops to tell.
func Example_undone() {
	for _, acked := range []int{60, 90, 96} {
		c := begin(&memory{})
		serve(c, 0, 20, 98)
		c.Propose(next)
		c.Apply(20000)
		at, n := 0.0, 0
		for c.Status().State == Applied && n < 20 {
			at, _ = serve(c, 20+n, 1, acked)
			n++
		}
		fmt.Print(acked, " of 100, after ", at-20000, " ms: ")
		show(c, nil)
	}
	c := begin(&memory{})
	serve(c, 0, 20, 98)
	c.Propose(next)
	c.Apply(20000)
	for s := range 60 {
		if c.Tick(float64(21+s)*1000, 0, s/59); s >= 58 { // one op in all
			show(c, nil)
		}
	}
	c.Propose(old)
	c.Apply(80000)
	for s := range 20 { // few ops, but all of them fail
		c.Tick(float64(81+s)*1000, 0, 2)
	}
	show(c, nil)
	// Output:
	// 60 of 100, after 1000 ms: 1 undone [a b] service fell from 0.980 to 0.600 <nil>
	// 90 of 100, after 1000 ms: 1 undone [a b] service fell from 0.980 to 0.900 <nil>
	// 96 of 100, after 10000 ms: 1 confirmed [a c] service went from 0.980 to 0.960 <nil>
	// 1 applied [a c]  <nil>
	// 1 confirmed [a c] service went from 0.980 to 0.000 <nil>
	// 2 undone [a c] service fell from 0.979 to 0.000 <nil>
}

// Whatever step a death comes at, before or after the record is kept, the old list or the new one is in force, and the next
// change goes as usual.
func Example_death() {
	for dies := 1; dies <= 3; dies++ {
		for _, kept := range []bool{false, true} {
			m := &memory{dies: dies, kept: kept}
			c := begin(m)
			serve(c, 0, 20, 98)
			_, err := c.Propose(next)
			if err == nil {
				err = c.Apply(20000)
			}
			if err == nil {
				_, err = serve(c, 20, 20, 98)
			}
			fmt.Println("step", dies, "kept", kept, errors.Is(err, errDied), "as", fmt.Sprintf("%q", c.Status().State))
			c = begin(m)
			show(c, nil)
			other := next
			if slices.Equal(ids(c.Hosts()), []string{"a", "c"}) {
				other = old
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

// In a directory the record is whole or the one before, also where a death left a half-written one beside it.
func ExampleDirectoryStore() {
	dir, err := os.MkdirTemp("", "change")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	c := begin(DirectoryStore(dir))
	_, err = c.Propose(next)
	show(c, err)
	show(c, c.Apply(0))
	os.WriteFile(filepath.Join(dir, recordName+".new"), []byte(`{"num`), 0o600)
	c = begin(DirectoryStore(dir))
	show(c, nil)
	os.WriteFile(filepath.Join(dir, recordName), []byte("torn"), 0o600)
	_, err = Open(DirectoryStore(dir), old)
	fmt.Println(err)
	_, err = Open(DirectoryStore(filepath.Join(dir, "none")), old)
	c = begin(DirectoryStore(filepath.Join(dir, "none")))
	_, proposed := c.Propose(next)
	fmt.Println(err, proposed != nil, c.Status().State == None)
	// Output:
	// 1 staged [a b]  <nil>
	// 1 applied [a c]  <nil>
	// 1 undone [a b] the balancer ended before it was confirmed <nil>
	// the record of changes: invalid character 'o' in literal true (expecting 'r')
	// <nil> true true
}
