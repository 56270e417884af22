package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The commands on inventory files say what they find, and end with a code that tells it.
func Example_commands() {
	dir, err := os.MkdirTemp("", "larchthread")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	for name, text := range map[string]string{
		"one.csv":  "id,address\na,10.0.0.1:11211\nb,10.0.0.2:11211\n",
		"two.yaml": "hosts:\n- {id: b, address: '10.0.0.2:11211'}\n- {id: a, address: '10.0.0.1:11211', weight: 2}\n",
		"bad.csv":  "id,address\na,nowhere\n",
	} {
		os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)
	}
	for _, line := range []string{"inventory check one.csv two.yaml", "inventory check one.csv bad.csv none.csv", "inventory diff one.csv two.yaml",
		"inventory diff one.csv one.csv", "inventory diff one.csv bad.csv", "inventory diff one.csv", "inventory", "fly", "serve now"} {
		c := command()
		var said bytes.Buffer
		var words []string
		for _, w := range strings.Fields(line) {
			if strings.Contains(w, ".") {
				w = filepath.Join(dir, w)
			}
			words = append(words, w)
		}
		c.SetArgs(words)
		c.SetOut(&said)
		c.SetErr(&said)
		code := execute(c)
		fmt.Printf("%s: %d\n%s", line, code, strings.ReplaceAll(said.String(), dir+"/", ""))
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
	// larchthread: want check or diff
	// see larchthread --help
	// fly: 2
	// larchthread: unknown command "fly" for "larchthread"
	// see larchthread --help
	// serve now: 2
	// larchthread: unknown command "now" for "larchthread serve"
	// see larchthread --help
}
