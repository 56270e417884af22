package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"runtime/debug"
)

// The file commands print their findings and set the exit code.
func Example_commands() {
	dir, err := os.MkdirTemp("", "larchthread")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	os.Unsetenv("RELAY_CONFIG")
	for name, text := range map[string]string{
		"one.csv":  "id,address\na,10.0.0.1:11211\nb,10.0.0.2:11211\n",
		"two.yaml": "hosts:\n- {id: b, address: '10.0.0.2:11211'}\n- {id: a, address: '10.0.0.1:11211', weight: 2}\n",
		"bad.csv":  "id,address\na,nowhere\n",
		"own.yaml": "inventory: {file: one.csv}\n",
		"ill.yml":  "inventory: {look_ms: 1, fiel: x}\nhosts: 1\n",
		"far.yaml": "inventory: {file: bad.csv}\n",
		"low.yaml": "inventory: {look_ms: 1}\n",
		"ok.json":  startFileText(`"listen":"10.0.0.1:1","seed":"7"`, `"mostPushes":3`),
		"ill.json": startFileText(`"listen":"here","seed":"x"`, `"mostPushes":0`),
		"cut.json": "{\n\"listen\":\n",
	} {
		os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)
	}
	for _, line := range []string{"inventory check one.csv two.yaml", "inventory check one.csv bad.csv none.csv",
		"inventory diff one.csv two.yaml",
		"inventory diff one.csv one.csv", "inventory diff one.csv bad.csv", "inventory diff one.csv", "inventory", "fly", "serve now",
		"config check ok.json own.yaml", "config check ill.json ill.yml low.yaml far.yaml cut.json", "config", "serve"} {
		c := newRootCommand()
		var output bytes.Buffer
		var words []string
		for _, w := range strings.Fields(line) {
			if strings.Contains(w, ".") {
				w = filepath.Join(dir, w)
			}
			words = append(words, w)
		}
		c.SetArgs(words)
		c.SetOut(&output)
		c.SetErr(&output)
		code := execute(c)
		fmt.Printf("%s: %d\n%s", line, code, strings.ReplaceAll(output.String(), dir+"/", ""))
	}
	// Output:
	// inventory check one.csv two.yaml: 0
	// one.csv: 2 hosts
	// two.yaml: 2 hosts
	// inventory check one.csv bad.csv none.csv: 1
	// one.csv: 2 hosts
	// bad.csv:2: address: "nowhere", want an IP address with a port
	// none.csv: no such file or directory
	// inventory diff one.csv two.yaml: 1
	// ~ a 10.0.0.1:11211   1 -> 10.0.0.1:11211   2
	// inventory diff one.csv one.csv: 0
	// inventory diff one.csv bad.csv: 2
	// bad.csv:2: address: "nowhere", want an IP address with a port
	// inventory diff one.csv: 2
	// larchthread: accepts 2 arg(s), received 1
	// see larchthread --help
	// inventory: 2
	// larchthread: missing subcommand: check or diff
	// see larchthread --help
	// fly: 2
	// larchthread: unknown command "fly" for "larchthread"
	// see larchthread --help
	// serve now: 2
	// larchthread: unknown command "now" for "larchthread serve"
	// see larchthread --help
	// config check ok.json own.yaml: 0
	// ok.json: a start file, listens on 10.0.0.1:1, categories: 1
	// own.yaml: an own file, 2 hosts by one.csv
	// config check ill.json ill.yml low.yaml far.yaml cut.json: 1
	// start file ill.json: listen: "here", want an address with a port
	// start file ill.json: seed: "x", want hex digits of 64 bits
	// start file ill.json: settings: params.limits.mostPushes: 0, want 1 or more
	// own file ill.yml: line 1: field fiel not found
	// own file ill.yml: line 2: field hosts not found
	// own file low.yaml: inventory.file: missing, but inventory.look_ms is set
	// own file low.yaml: inventory.look_ms: 1, want 10 to 60000
	// bad.csv:2: address: "nowhere", want an IP address with a port
	// start file cut.json: line 2: unexpected end of JSON input
	// config: 2
	// larchthread: missing subcommand: check
	// see larchthread --help
	// serve: 1
	// larchthread: RELAY_CONFIG is not set: set it to the path of the start file (README, "Start a balancer")
}

// startFileText returns a start file with the given fields and limits.
func startFileText(fields, limits string) string {
	return `{"discovery":"10.0.0.2:1",` + fields +
		`,"limits":{"memory_mb":1,"sockets":99},"settings":{"groupSize":1,"discovery":"pushed",` +
		`"categories":[{"name":"read","targetLatencyUs":1,"repeat":"retryable"}],"limits":{` + limits + `}}}`
}

// Missing build information is left out of the version line.
func Example_version() {
	printVersion := func(settings ...debug.BuildSetting) {
		info := &debug.BuildInfo{GoVersion: "go1.26", Settings: append(settings, debug.BuildSetting{Key: "GOOS", Value: "linux"},
			debug.BuildSetting{Key: "GOARCH", Value: "amd64"})}
		fmt.Println(buildVersion(info))
	}
	commit := []debug.BuildSetting{{Key: "vcs.revision", Value: "1f2e"}, {Key: "vcs.time", Value: "2026-12-01T10:00:00Z"}}
	printVersion()
	printVersion(commit...)
	printVersion(append(commit, debug.BuildSetting{Key: "vcs.modified", Value: "true"})...)
	// Output:
	// larchthread (devel) go1.26 linux/amd64
	// larchthread (devel) commit 1f2e of 2026-12-01T10:00:00Z go1.26 linux/amd64
	// larchthread (devel) commit 1f2e of 2026-12-01T10:00:00Z, with changes go1.26 linux/amd64
}

// Invalid or partially written inventory files are ignored under load; a host that is removed from the file gets
// no new op after 500 ms, and one that is added back is used again.
func Example_watchedInventory() {
	dir, err := os.MkdirTemp("", "larchthread")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	operatorPath, listPath := filepath.Join(dir, "own.yaml"), filepath.Join(dir, "fleet.csv")
	f := &fleet{adminAddress: freeAddress(), args: []string{"serve", "--own", operatorPath}}
	varied := func(words []string) string {
		time.Sleep(time.Duration(5+3*len(words[1])) * time.Millisecond)
		return hit(words)
	}
	f.AddHost("a", varied)
	f.AddHost("b", varied)
	f.AddOrigin(handleOrigin)
	line := func(i int, kind string) string {
		at := regexp.MustCompile(`"id":"(.*?)","host_port":"(.*?)"`).FindStringSubmatch(f.Members[i])
		return fmt.Sprintf("%s,%s,z,%s\n", at[1], at[2], kind)
	}
	text := "id,address,zone,kind\n" + line(0, "box") + line(2, "origin") + line(1, "box")
	replaceList := func(text string) { // atomic replacement
		os.WriteFile(listPath+".new", []byte(text), 0o600)
		os.Rename(listPath+".new", listPath)
	}
	replaceList(text)
	os.WriteFile(operatorPath, []byte("inventory: {file: fleet.csv, look_ms: 10}\n"), 0o600)
	f.Members = nil // neither discovery nor the start file lists hosts
	f.start()
	defer f.stop()
	hosts := func() string {
		return regexp.MustCompile("known_cache_hosts:[0-9]+").FindString(f.callAdmin("GET", "/status/metrics", ""))
	}
	awaitHosts := func(want string) bool {
		for range 100 {
			if hosts() == want {
				return true
			}
			time.Sleep(5 * time.Millisecond)
		}
		return false
	}
	fmt.Println(awaitHosts("known_cache_hosts:2"))
	stopLoad := f.startLoad(6)
	partial := 0
	for i := range 1500 {
		torn := text[:i%len(text)]
		if i%3 == 0 {
			torn = "id,address\nnowhere"
		}
		os.WriteFile(listPath, []byte(torn), 0o600)
		if i%25 == 0 && hosts() != "known_cache_hosts:2" {
			partial++
		}
		replaceList(text)
	}
	fmt.Println("partial lists:", partial)
	replaceList(truncate(text))
	time.Sleep(60 * time.Millisecond)
	os.Remove(listPath)
	time.Sleep(60 * time.Millisecond)
	fmt.Println(hosts(), strings.Count(f.log.String(), "inventory kept as it was") >= 2)
	replaceList(strings.TrimSuffix(text, lastLine(text)))
	fmt.Println(awaitHosts("known_cache_hosts:1"))
	time.Sleep(500 * time.Millisecond)
	f.TakeNotes()
	time.Sleep(100 * time.Millisecond)
	notes := strings.Join(f.Notes(), " ")
	fmt.Println("a receives ops:", strings.Contains(notes, "a: mg"), "b receives ops:", strings.Contains(notes, "b: mg"))
	replaceList(text)
	fmt.Println(awaitHosts("known_cache_hosts:2"))
	stopLoad()
	// Output:
	// true
	// partial lists: 0
	// known_cache_hosts:2 true
	// true
	// a receives ops: true b receives ops: false
	// true
	// served over 200 ops: true
}

// truncate returns a text without its last three bytes.
func truncate(text string) string { return text[:len(text)-3] }

// lastLine returns the last line of a text.
func lastLine(text string) string {
	return text[strings.LastIndex(strings.TrimSuffix(text, "\n"), "\n")+1:]
}
