package cobaltpier_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of tests that are known to fail passes over just those, names them, and bears nothing that is not so.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs(".ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module red\n\ngo 1.24\n",
		"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestBad(t *testing.T) { t.Error() }\nfunc TestWorse(t " +
			"*testing.T) { t.Error() }\n" +
			"func TestGood(*testing.T) {}\nfunc TestBoth(t *testing.T) { t.Error() }\n",
		"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestBoth(*testing.T) {}\n",
	} {
		name = filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	const bad = "./a TestBad: the sky is low, issue 7"
	for _, c := range []struct{ what, list, skip, says string }{
		{"no list", "", "", ""},
		{"one", bad, "^(TestBad)$", bad},
		{"two", bad + "\n./a TestWorse: so is this, issue 8\n", "^(TestBad|TestWorse)$", "TestWorse"},
		{"no cause", "./a TestBad: , issue 7", "", "want 'package TestName: cause, issue N'"},
		{"no issue", "./a TestBad: the sky is low", "", "want 'package TestName: cause, issue N'"},
		{"not there", "./a TestNone: why, issue 7", "", "has no test TestNone"},
		{"passes again", "./a TestGood: why, issue 7", "", "TestGood passes"},
		{"another of its name", "./a TestBoth: why, issue 7", "", "more than one test"},
		{"four", strings.Repeat(bad+"\n", 4), "", "three lines at most"},
	} {
		name := filepath.Join(dir, "KNOWN-RED.txt")
		os.Remove(name)
		if c.list != "" {
			if err := os.WriteFile(name, []byte(c.list), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command(script, "KNOWN-RED.txt")
		cmd.Dir = dir
		var out, says strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &says
		err := cmd.Run()
		if failed := err != nil; failed != (c.skip == "" && c.list != "") || strings.TrimSpace(out.String()) != c.skip ||
			!strings.Contains(says.String(), c.says) {
			t.Errorf("%s: %v, passes over %q, says %q", c.what, err, out.String(), says.String())
		}
	}
}
