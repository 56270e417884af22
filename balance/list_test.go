package balance

import (
	"fmt"
	"math"
)

// What discovery has, and could be reached for, counts as told 6 s later. It may come back from just behind any call on, so
// the next is made soon enough for its answer, however many have failed before: at once, late, or by being given up. Where
// calls are refused at once, as where discovery is asked by hundreds, there is time for a second and a third.
func Example_listToldInTime() {
	for _, c := range []struct {
		what string
		fail float64 // ms until a call fails; +Inf: it is never answered
		most float64 // ms from one call to the next
	}{{"refused at once", 0, 2000}, {"reset after a while", 900, 2900},
		{"503 as it is to be given up", 2900, 4500}, {"never answered", math.Inf(1), 4500}} {
		longest := 0.0
		for seed := range 200 {
			s := start()
			s.ListOnRequest, s.Seed = true, uint64(seed)
			x := &scene{silent: true}
			x.Balancer = New(s, x, 0)
			called := 0.0
			for call := 0; call < 8; {
				x.after(10)
				switch {
				case x.listPending && x.listCallAt > called: // a further call
					longest, called, call = max(longest, x.listCallAt-called), x.listCallAt, call+1
				case x.listPending && x.t-x.listCallAt >= c.fail:
					x.HostListFailed()
				}
			}
		}
		fmt.Println(c.what+": in time", longest <= c.most+100, "and spread", longest > c.most-200)
	}
	// Output:
	// refused at once: in time true and spread true
	// reset after a while: in time true and spread true
	// 503 as it is to be given up: in time true and spread true
	// never answered: in time true and spread true
}

// A failed list call is made again after a spread and growing wait, as is one that nobody answers.
func Example_listErrors() {
	s := start()
	s.ListOnRequest = true
	x := boot(s)
	x.HostListFailed()
	x.after(1000)
	x.HostListFailed()
	x.after(2000)
	x.after(10000)
	x.list(true, "a")
	x.after(60000)
	// Output:
	// 0 watch
	//  900 watch
	// 2800 watch
	// 7000 watch
	// 11300 watch
}

// With no host listed an op is held while there is hope.
func Example_emptyList() {
	x := open(start())
	x.ask("op0", 0, "page", 500, false)
	x.ask("op1", 0, "page", 500, false)
	x.after(50)
	x.tell("a", Ready, 0)
	x.tell("a", Gone, 0)
	x.ask("op2", 0, "page", 500, false)
	x.after(100)
	// Output:
	// 50 push op0 to a
	//   50 push op1 to a
	//  120 nack op2
	//  138 cancel op0
	//  138 cancel op1
	//  138 nack op0
	//  138 nack op1
}

// Odd lists stop no routing to hosts that are known to be ready: changes to hosts never listed, a host listed
// twice, a whole list of nothing or of the origin alone, and one of a thousand hosts.
func Example_oddLists() {
	for _, group := range []int{1, 1000} {
		s := start()
		s.GroupSize, s.CacheAside = group, true
		x := open(s, "a", "b")
		x.tell("never", Gone, 0)
		x.tell("other", Draining, 5)
		a := x.hosts["a"]
		x.HostsListed([]HostEntry{{a, Listing{Size: 2}}, {a, Listing{Size: 1}}}, false, false)
		x.silent = true
		at := func(key string) string {
			op := x.ask(key, 0, key, 500, false)
			if op.inFlight == 0 {
				x.ClientLeft(op)
				return "none"
			}
			name := at(op).Host.Name
			x.end(key, Served, 1)
			return name
		}
		fmt.Print(group, " balancers: ", len(x.Balancer.hosts), " hosts, ", at("page"), at("atlas"))
		x.HostsListed(nil, true, false)
		fmt.Print(", empty ", at("k1"))
		x.list(true, "origin")
		fmt.Print(", origin ", at("k2"))
		var many []string
		for i := range 1000 {
			many = append(many, fmt.Sprint("h", i))
		}
		x.list(true, many...)
		fmt.Println(", thousand", at("page"), len(x.readyHosts))
	}
	// Output:
	// 1 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
	// 1000 balancers: 3 hosts, ab, empty none, origin none, thousand h818 1000
}

// A balancer back from a restart routes by its saved list as its peers do by theirs, whatever its seed,
// and takes the new list when one comes, if ever.
func Example_restart() {
	s := start()
	s.ListOnRequest = true
	peer := open(start(), "a", "b", "c")
	s.Seed = 99
	x := boot(s)
	for _, n := range []string{"a", "b", "c"} {
		x.hosts[n] = &Host{Name: n}
		x.HostsListed([]HostEntry{{x.hosts[n], Listing{Size: 1}}}, false, true)
	}
	x.after(8000)
	x.ask("op", 0, "page", 500, false)
	peer.ask("peer's", 0, "page", 500, false)
	x.end("op", ConnectFailed, 1)
	x.list(true, "a", "b")
	// Output:
	// 0 watch
	// 3900 watch
	// 8000 push op to c
	//    0 push peer's to c
	// 8000 push op to a
}

// Calls for the list fail ever longer apart; where another service tells it from now on, it is asked at once.
func Example_listMoved() {
	s := start()
	s.ListOnRequest = true
	x := boot(s)
	for range 4 {
		x.HostListFailed()
	}
	x.after(100)
	x.HostListMoved()
	x.HostListFailed()
	x.after(1000)
	// Output:
	// 0 watch
	//  100 watch
	//  700 watch
}

// However lists come, a changed cycle is the one that a balancer with the last list alone has; and hosts are looked at ten
// times a second, not at each tick. Sorting all points and visiting all hosts once cost a thousand balancers 75 s of CPU in 18.
func Example_cheapLists() {
	x := open(start(), "a", "b", "c", "d", "e")
	x.silent = true
	for i := range 200 {
		name := string(rune('a' + i*7%13))
		x.tell(name, []Status{Ready, Draining, Ready, Gone}[i%4], 0)
	}
	var left []string
	for _, h := range x.readyHosts {
		left = append(left, h.Name)
	}
	y := open(start(), left...)
	same := len(x.cycle.points) == len(y.cycle.points)
	for i, p := range x.cycle.points {
		q := y.cycle.points[i]
		same = same && p.hash == q.hash && x.cycle.hosts[p.hostIndex].Name == y.cycle.hosts[q.hostIndex].Name
	}
	looks, last := 0, x.lastSweep
	for range 100 {
		x.after(10)
		if x.lastSweep != last {
			looks, last = looks+1, x.lastSweep
		}
	}
	fmt.Println(len(left), "hosts, the same cycle:", same, "looks in a second:", looks)
	// Output:
	// 6 hosts, the same cycle: true looks in a second: 9
}

// A host that operators take out gets nothing new, in whichever way an op would come to it: first push, next push after a
// failure, or once lists name it again. What it owes is waited for. When it is put back, its rest is forgotten.
func Example_ban() {
	x := open(start(), "a", "b", "c")
	x.ask("out", 0, "page", 500, false)
	first := x.ops["out"].pushes[0].Host
	for range 2 {
		x.SetBanned(first, true) // twice is as once
	}
	x.ask("next", 0, "page", 500, false)
	x.list(true, "a", "b", "c") // and it is listed as ready
	x.ask("listed", 0, "page", 500, false)
	x.end("next", ConnBroken, 5)
	x.end("out", Served, 10)
	fmt.Println(x.HostCounts())
	x.SetBanned(first, false)
	first.ejectedUntil = math.Inf(1)
	x.SetBanned(first, true)
	x.SetBanned(first, false)
	fmt.Println(x.HostCounts())
	x.ask("again", 0, "page", 500, false)
	// Output:
	// 0 push out to c
	//    0 push next to a
	//    0 push listed to a
	//    0 push next to b
	//    0 out acked
	// 3 2
	// 3 1
	//    0 push again to c
}

// Where operators have taken out all hosts, reads go to the origin. Before there is a list they are held.
func Example_allBanned() {
	s := start()
	s.CacheAside = true
	x := open(s, "a", "origin")
	x.SetBanned(x.hosts["a"], true)
	x.ask("read", 0, "page", 500, false)
	x.end("read", Served, 10)
	x = boot(s)
	x.ask("early", 0, "page", 500, false)
	// Output:
	// 0 push read to origin
	//    0 read acked
}
