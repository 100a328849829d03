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

// TestPolicyIsWholeModule checks that deploy/balancer.toml lists every file of internal/router under policy.
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

// deployList reads a list of strings from deploy/balancer.toml. Each list is on one line there.
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

// ringOf returns the ring of a package of this module by its folder: 1 decisions, 2 protocols, 3 I/O and everything
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

// forbiddenInside are packages of the standard library that need a clock, a socket or a file. Rings 1 and 2 must not
// import them.
var forbiddenInside = []string{"net", "os", "net/http", "os/exec", "os/signal", "syscall", "log"}

// TestImportsPointInwards checks that no package imports one of an outer ring: decisions import neither protocols
// nor I/O, and protocols import no I/O.
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
