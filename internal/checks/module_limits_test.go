// Package checks tests the scripts in .ci that a change has to pass.
package checks

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	mostLines      = 1200 // not blank
	mostCharacters = 110  // in a line
)

// TestModuleLimits runs the check on files at its limits, which pass, and one beyond them, which fail.
func TestModuleLimits(t *testing.T) {
	full := strings.Repeat("x\n", mostLines)
	for _, c := range []struct {
		name, text string
		want       string // what is said behind the file's name; nothing where the check passes
	}{
		{"as many lines as may be", full, ""},
		{"blank lines do not count", "\n \t\n" + full + "\n\t\n", ""},
		{"one line too many", full + "x\n", ": 1201 lines that are not blank, at most 1200\n"},
		{"one line too many, without its end", full + "x", ": 1201 lines that are not blank, at most 1200\n"},
		{"as long as a line may be", strings.Repeat("x", mostCharacters) + "\n", ""},
		{"one character too many", "x\n" + strings.Repeat("x", mostCharacters+1) + "\n", ":2: 111 characters, at most 110\n"},
		{"a tab is one character", "\t" + strings.Repeat("x", mostCharacters) + "\n", ":1: 111 characters, at most 110\n"},
		{"characters, not bytes", strings.Repeat("é", mostCharacters-1) + "€\n", ""},
		{"characters of several bytes", strings.Repeat("€", mostCharacters+1) + "\n", ":1: 111 characters, at most 110\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "module.go")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, locale := range []string{"C", "C.UTF-8"} {
				check := exec.Command("sh", "../../.ci/module-limits", file)
				check.Env = append(os.Environ(), "LC_ALL="+locale)
				out, err := check.CombinedOutput()
				if said := strings.TrimPrefix(string(out), file); said != c.want || (err == nil) != (c.want == "") {
					t.Errorf("%s: said %q and ended with %v; want %q", locale, said, err, c.want)
				}
			}
		})
	}
}

// TestBalanceWithinLimits has the module with all decisions pass the check.
func TestBalanceWithinLimits(t *testing.T) {
	if out, err := exec.Command("sh", "../../.ci/module-limits", "../../balance/balance.go").CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
