package scenariofile

import (
	_ "embed"
	"strings"
	"testing"

	"cobaltpier/internal/hclconfig"
)

// simulatorJSON is a scenario as the simulator writes it.
//
//go:embed testdata/bench.json
var simulatorJSON string

func TestFromSimulator(t *testing.T) {
	s, notes, err := FromSimulator([]byte(simulatorJSON))
	if err != nil {
		t.Fatal(err)
	}
	m := s.Pools.Model
	if s.Gateways.Count != 3 || s.Net.Cross != 12 || s.Pools.Count != 2 || s.Load.Rate != 54 || s.Rules.Clear != 500 ||
		m.Times.T1 != 400 || len(s.Faults) != 2 ||
		s.Faults[1].Region != "b" || s.Faults[0].Part != 0.5 ||
		strings.Join(m.Reports, " ") != "util queue" {
		t.Errorf("%+v", s)
	}
	if w := m.Setup + m.Answer + m.Release; w < 33.3 || w > 33.4 { // 30 calls per second at a switch of mean speed
		t.Errorf("work of a call %v ms", w)
	}
	if !strings.Contains(strings.Join(notes, "; "), `"odd"`) {
		t.Errorf("notes %v", notes)
	}
	for _, bad := range []string{"{", `{"v":2}`, `{"v":1}`, strings.Replace(simulatorJSON, `"capacity":60`, `"capacity":0`,
		1)} {
		if _, _, err := FromSimulator([]byte(bad)); err == nil {
			t.Errorf("%.30q: no error", bad)
		}
	}
}

func TestInvalidFiles(t *testing.T) {
	for in, want := range map[string]string{
		"trouble \"earthquake\" {\n at = \"1s\"\n}": `day.hcl:1: trouble "earthquake" is not known`,
		"trouble \"slow\" {\n}":                     `day.hcl:1: trouble: want at =`,
		"length = \"10ms\"":                         `day.hcl:1: length: want a duration from "1s"`,
		"pools {\n reports = [\"mood\"]\n}":         `day.hcl:2: reports: want some of util`,
		"pool {\n}":                                 `day.hcl:1: unknown block "pool"`,
	} {
		b, err := hclconfig.Parse("day.hcl", []byte(in))
		if err == nil {
			_, err = Read(b)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", in, err, want)
		}
	}
}

// An override sets a value, whether or not the file has the block; unknown keys are errors as in the file itself.
func TestOverride(t *testing.T) {
	b, err := hclconfig.Parse("day.hcl", []byte("gateways {\n count = 3\n}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range [][2]string{{"gateways.count", "5"}, {"net.loss", "0.25"}, {"length", `"3s"`}} {
		if err := b.Override(x[0], x[1]); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Read(b)
	if err != nil || s.Gateways.Count != 5 || s.Net.Loss != 0.25 || s.Length != 3000 {
		t.Errorf("%v: %+v", err, s)
	}
	b, _ = hclconfig.Parse("day.hcl", nil)
	_ = b.Override("net.lost", "1")
	if _, err := Read(b); err == nil || !strings.Contains(err.Error(), `unknown key "lost"`) {
		t.Errorf("unknown key: %v", err)
	}
}
