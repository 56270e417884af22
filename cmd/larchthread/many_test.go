package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	manyClients = 1024
	restsFor    = 500 * time.Millisecond
	keptFor     = 1900 * time.Millisecond // an idle connection may be closed after 2 s
	passes      = 5                       // on a machine so busy that a pass takes longer than that it tells nothing
)

// Where `limits.sockets` has room for them, 1,024 clients keep their connections while all rest at once, and each is served on it again.
func TestManyIdleClients(t *testing.T) {
	f := &fleet{limits: `{"cores":1,"memory_mb":192,"sockets":8192}`}
	f.Host("a", hit)
	f.start()
	defer f.stop()
	for range passes {
		began := time.Now()
		lost := f.restTogether(manyClients)
		took := time.Since(began)
		switch {
		case lost == 0:
			if n := strings.Count(f.log.String(), "reason=surplus "); n > 0 && took < keptFor {
				t.Errorf("%d connections closed as surplus", n)
			}
			return
		case took < keptFor:
			t.Fatalf("%d of %d clients were not served again on their connections, after %v", lost, manyClients, took)
		}
		t.Logf("a pass took %v: a connection may be closed by then", took)
	}
	t.Fatalf("no pass of %d took less than %v", passes, keptFor)
}

// restTogether has so many clients open a connection and be answered, rest, and be answered again. It returns how many were
// not.
func (f *fleet) restTogether(n int) (lost int) {
	var all []*client
	for range n {
		c := f.client()
		defer c.Close()
		all = append(all, c)
	}
	lost += unheard(all, "first")
	time.Sleep(restsFor)
	return lost + unheard(all, "again")
}

// unheard sends an op on each connection, and returns how many have no answer. A nack is one: this is about connections.
func unheard(all []*client, round string) (lost int) {
	for i, c := range all {
		fmt.Fprintf(c, "mg k%d v O%s-%d Pc=read,d=500\r\n", i, round, i)
	}
	for _, c := range all {
		line, err := c.r.ReadString('\n')
		if strings.HasPrefix(line, "VA 5 ") {
			line, err = c.r.ReadString('\n')
		}
		if err != nil || line != "value\r\n" && !strings.HasPrefix(line, "SERVER_ERROR busy ") {
			lost++
		}
	}
	return lost
}
