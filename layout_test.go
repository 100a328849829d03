package cobaltpier_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const maxPolicyLineLength = 110 // characters

// TestDeployFile checks that every file and folder that deploy/balancer.toml names exists, that the policy files are
// not all blank and that none of their lines is too long.
func TestDeployFile(t *testing.T) {
	lines := 0
	for _, name := range deployList(t, "policy") {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Errorf("policy: %v", err)
			continue
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if length := len([]rune(line)); length > maxPolicyLineLength {
				t.Errorf("%s:%d: %d characters, %d at most", name, i+1, length, maxPolicyLineLength)
			}
		}
	}
	if lines == 0 {
		t.Error("policy files: no non-blank lines")
	}
	for _, name := range deployList(t, "node") {
		if _, err := os.Stat(name); err != nil {
			t.Errorf("node: %v", err)
		}
	}
}

// TestPolicyIsWholeModule checks that every file of the decision module is listed under policy.
func TestPolicyIsWholeModule(t *testing.T) {
	files, err := filepath.Glob("internal/router/*.go")
	if err != nil {
		t.Fatal(err)
	}
	policy := deployList(t, "policy")
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(policy, filepath.ToSlash(name)) {
			t.Errorf("%s is not listed under policy in deploy/balancer.toml", name)
		}
	}
}

// deployList reads one list of strings of the deploy file; each list stands on one line.
func deployList(t *testing.T, key string) []string {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + key + ` *= *\[(.*)\]$`).FindSubmatch(text)
	if found == nil {
		t.Fatalf("deploy/balancer.toml has no list %q", key)
	}
	var values []string
	for _, quoted := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(found[1], -1) {
		values = append(values, string(quoted[1]))
	}
	if len(values) == 0 {
		t.Fatalf("deploy/balancer.toml: list %q is empty", key)
	}
	return values
}

// ringOf gives the ring of a package of this module, by its folder: 1 decisions, 2 protocol machines, 3 drivers and all
// else.
func ringOf(pkg string) int {
	switch path := strings.TrimPrefix(pkg, "cobaltpier/internal/"); {
	case strings.HasPrefix(path, "decision/"),
		path == "routing",
		path == "router",
		path == "detrand",
		path == "timerqueue",
		path == "deployment",
		path == "hclconfig",
		path == "decaysum":
		return 1
	case strings.HasPrefix(path, "protocol/"):
		return 2
	}
	return 3
}

// forbiddenInside are packages of the standard library that need a clock, a socket or a file: rings 1 and 2 import
// none.
var forbiddenInside = []string{"net", "os", "net/http", "os/exec", "os/signal", "syscall", "log"}

// TestImportsPointInwards checks that decisions import no protocol machine or driver, and protocol machines no driver.
func TestImportsPointInwards(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		fields := strings.Fields(line)
		ring := ringOf(fields[0])
		if ring == 3 {
			continue
		}
		checked++
		for _, imported := range fields[1:] {
			own := strings.HasPrefix(imported, "cobaltpier/internal/")
			if own && ringOf(imported) > ring || slices.Contains(forbiddenInside, imported) {
				t.Errorf("%s (ring %d) imports %s", fields[0], ring, imported)
			}
		}
	}
	if checked < 10 {
		t.Errorf("only %d packages of rings 1 and 2 were found", checked)
	}
}
