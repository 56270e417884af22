// Package checks tests the scripts in .ci that a change has to pass.
package checks

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const maxCharacters = 110 // in a line

// TestModuleLimits runs the check on lines at the limit, which pass, and one character beyond it, which fail. The number
// of lines is not limited.
func TestModuleLimits(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       string // what follows the file's name in the output; empty where the check passes
	}{
		{"1,201 lines", strings.Repeat("x\n", 1201), ""},
		{"1,201 lines, the last one not terminated", strings.Repeat("x\n", 1200) + "x", ""},
		{"as long as a line may be", strings.Repeat("x", maxCharacters) + "\n", ""},
		{"one character too many", "x\n" + strings.Repeat("x", maxCharacters+1) + "\n", ":2: 111 characters, at most 110\n"},
		{"a tab is one character", "\t" + strings.Repeat("x", maxCharacters) + "\n", ":1: 111 characters, at most 110\n"},
		{"characters, not bytes", strings.Repeat("é", maxCharacters-1) + "€\n", ""},
		{"characters of several bytes", strings.Repeat("€", maxCharacters+1) + "\n", ":1: 111 characters, at most 110\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "module.go")
			writeFile(t, file, c.text)
			want := ""
			if c.want != "" {
				want = file + c.want
			}
			checkOutput(t, want, file)
		})
	}
}

// TestModuleLimitsOfSeveralFiles has one file of three break the limit: the check fails, whichever it is, and names that
// file alone.
func TestModuleLimitsOfSeveralFiles(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault int // index of the file at fault
	}{
		{"the first file is at fault", 0},
		{"the second file is at fault", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var files []string
			for i, name := range []string{"a.go", "b.go", "c.go"} {
				files = append(files, filepath.Join(t.TempDir(), name))
				text := strings.Repeat("x", maxCharacters) + "\n"
				if i == c.fault {
					text += strings.Repeat("x", maxCharacters+1) + "\n"
				}
				writeFile(t, files[i], text)
			}
			checkOutput(t, files[c.fault]+":2: 111 characters, at most 110\n", files...)
		})
	}
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkOutput runs the check on files in two locales and compares what it prints with want. The check has to pass where
// want is empty, and to fail elsewhere.
func checkOutput(t *testing.T, want string, files ...string) {
	t.Helper()
	for _, locale := range []string{"C", "C.UTF-8"} {
		check := exec.Command("sh", append([]string{"../../.ci/module-limits"}, files...)...)
		check.Env = append(os.Environ(), "LC_ALL="+locale)
		out, err := check.CombinedOutput()
		if string(out) != want || (err == nil) != (want == "") {
			t.Errorf("%s: output %q and %v; want %q", locale, out, err, want)
		}
	}
}

// TestBalanceWithinLimits runs the check on every file of the decision module that is not a test.
func TestBalanceWithinLimits(t *testing.T) {
	all, err := filepath.Glob("../../balance/*.go")
	if err != nil {
		t.Fatal(err)
	}
	args := []string{"../../.ci/module-limits"}
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			args = append(args, file)
		}
	}
	if len(args) == 1 {
		t.Fatal("no files of the decision module found")
	}
	if out, err := exec.Command("sh", args...).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
