package numbercli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const table = `
route "a" {
  group "TG-0" {
  }
}
route "b" {
  group "TG-1" {
  }
}
plan "start" {
  rule "" {
    route = "a"
  }
}
`

func run(args ...string) (string, error) {
	c := New()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	c.SilenceUsage, c.SilenceErrors = true, true
	err := c.Execute()
	return out.String(), err
}

// The compact form made from HCL and CSV can be checked, explained and compared; bad input is reported with file and
// line and writes no file.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		f := filepath.Join(dir, name)
		if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return f
	}
	hcl, csv, out := file("t.hcl", table), file("p.csv", "# areas\n+1418,b\n1514, b\n\n1613,a\n"), filepath.Join(dir,
		"t.table")
	if _, err := run("import", hcl, csv, "--out", out); err != nil {
		t.Fatal(err)
	}
	if s, err := run("check", out); err != nil || !strings.Contains(s, "4 prefixes: fine") {
		t.Errorf("%s, %v", s, err)
	}
	if s, err := run("explain", out, "+15145551234"); err != nil || !strings.Contains(s, "route b: TG-1") {
		t.Errorf("%s, %v", s, err)
	}
	s, err := run("diff", hcl, out)
	if !errors.Is(err, ErrDiffer) ||
		s != "+ rule start/1418: route b\n+ rule start/1514: route b\n+ rule start/1613: route a\n" {
		t.Errorf("%s, %v", s, err)
	}
	if s, err := run("diff", out, out); err != nil || s != "" {
		t.Errorf("%s, %v", s, err)
	}
	if s, err := run("check", hcl); err != nil || !strings.Contains(s, `warning: route "b" is never used`) {
		t.Errorf("%s, %v", s, err)
	}
	for text, want := range map[string]string{"1418,b\n15x4,b\n": "bad.csv:2: want", "1418\n": "bad.csv:1: want",
		"1418,b\n1418,b\n": "duplicate prefix", "1418,c\n": `no route "c"`,
		",b\n": "bad.csv:1: want"} {
		bad, none := file("bad.csv", text), filepath.Join(dir, "none")
		if _, err := run("import", hcl, bad, "--out", none); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
		if _, err := os.Stat(none); err == nil {
			t.Errorf("%q: a file was written", text)
		}
	}
	if _, err := run(
		"import",
		hcl,
		csv,
		"--plan",
		"x",
		"--out",
		out,
	); err == nil ||
		!strings.Contains(err.Error(), `no plan "x"`) {
		t.Error(err)
	}
	if _, err := run("check", file("x.table", "nothing")); err == nil ||
		!strings.Contains(err.Error(), "neither HCL nor the compact form") {
		t.Error(err)
	}
	edge := file("edge.hcl", `
gateway {
  name = "e"
  sip = "127.0.0.1:5060"
  peer = "127.0.0.1:5070"
  trunk_context = "x.example"
}
list {
  addr = "127.0.0.1:7000"
}
rules {
  clear_wait = "500ms"
  cold_share = 0.36
  warm_within = "14s"
  tip_multiple = 2.5
  tip_time = "1s"
}
skill "shift-lookup" {
  target = "2s"
  patience = "9s"
}
group "TG-0" {
  pool = 0
  size = 100
}
`)
	if _, err := run("check", hcl, "--config", edge); err == nil || !strings.Contains(err.Error(), `trunk group "TG-1"`) {
		t.Error(err)
	}
	if _, err := run("check", file("one.hcl", strings.Replace(table, "TG-1", "TG-0", 1)), "--config", edge); err != nil {
		t.Error(err)
	}
	if _, err := run("explain", out); err == nil {
		t.Error("explained without a number")
	}
}
