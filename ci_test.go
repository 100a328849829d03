package cobaltpier_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed checks .ci/known-red, which prints the expression for go test's -skip from the list of tests that
// are known to fail. It must skip exactly the listed tests and name them, and reject a list that is malformed or
// out of date.
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
	const badLine = "./a TestBad: wrong total, issue 7"
	for _, c := range []struct{ name, list, skip, message string }{
		{"no list", "", "", ""},
		{"one test", badLine, "^(TestBad)$", badLine},
		{"two tests", badLine + "\n./a TestWorse: wrong order, issue 8\n", "^(TestBad|TestWorse)$", "TestWorse"},
		{"failing sometimes", "./a TestGood (sometimes): wrong total, issue 7", "^(TestGood)$", "TestGood"},
		{"an unknown mark", "./a TestGood (never): wrong total, issue 7", "", "want 'package TestName: cause, issue N'"},
		{"no cause", "./a TestBad: , issue 7", "", "want 'package TestName: cause, issue N'"},
		{"no issue", "./a TestBad: wrong total", "", "want 'package TestName: cause, issue N'"},
		{"unknown test", "./a TestNone: wrong total, issue 7", "", "has no test TestNone"},
		{"a test that passes", "./a TestGood: wrong total, issue 7", "", "TestGood passes"},
		{"two tests of one name", "./a TestBoth: wrong total, issue 7", "", "more than one test"},
		{"four lines", strings.Repeat(badLine+"\n", 4), "", "three lines at most"},
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
		var skipped, messages strings.Builder
		cmd.Stdout, cmd.Stderr = &skipped, &messages
		err := cmd.Run()
		if failed := err != nil; failed != (c.skip == "" && c.list != "") || strings.TrimSpace(skipped.String()) != c.skip ||
			!strings.Contains(messages.String(), c.message) {
			t.Errorf("%s: error %v, skips %q, messages %q", c.name, err, skipped.String(), messages.String())
		}
	}
}
