package search

import (
	"context"
	"embed"
	"encoding/json"
	"path"
	"testing"

	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/virtualrun"
)

//go:embed corpus
var corpus embed.FS

// TestCorpus runs every scenario that a search found and whose fault has been fixed: no rule may break on it again.
func TestCorpus(t *testing.T) {
	files, err := corpus.ReadDir("corpus")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if path.Ext(f.Name()) != ".json" {
			continue
		}
		src, err := corpus.ReadFile("corpus/" + f.Name())
		if err != nil {
			t.Fatal(err)
		}
		s := &scenariofile.Script{}
		if err := json.Unmarshal(src, s); err != nil {
			t.Fatalf("%s: %v", f.Name(), err)
		}
		if found := Judge(s, virtualrun.Run(s, virtualrun.PolicyByName("brain"), virtualrun.Options{})); found.Rule > 0 {
			t.Errorf("%s: %s", f.Name(), found.What)
		}
	}
}

// TestSmallSearch runs a few scenarios, the same ones every time, with the project's own policy.
func TestSmallSearch(t *testing.T) {
	r := Run(context.Background(), Options{Days: 24, Seed: 99})
	for _, f := range r.Broken {
		t.Error(f.What)
	}
	if r.Days != 24 || len(r.Worst) == 0 || r.MaxSlowStartUse == 0 {
		t.Errorf("%d scenarios, %d worst, slow-start use %v", r.Days, len(r.Worst), r.MaxSlowStartUse)
	}
}

// simulateFaulty reports a broken rule for scenarios with a stall and more than one gateway.
func simulateFaulty(s *scenariofile.Script) *virtualrun.Result {
	r := &virtualrun.Result{}
	for _, t := range s.Faults {
		if t.Kind == "stall" && s.Gateways.Count > 1 {
			r.Findings = []conformance.Finding{{Rule: 2, Description: "made up"}}
		}
	}
	return r
}

// TestFindAndShrink checks that a search finds a broken rule, reduces the scenario to what is needed, and keeps its
// finds when it is canceled half way.
func TestFindAndShrink(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	reported := 0
	r := Run(ctx, Options{Days: 100000, Seed: 3, Simulate: simulateFaulty, Found: func(Find) {
		if reported++; reported == 5 {
			cancel()
		}
	}})
	if r.Days >= 100000 || len(r.Broken) < 5 || reported < 5 {
		t.Fatalf("%d scenarios, %d finds, %d reported", r.Days, len(r.Broken), reported)
	}
	small := Shrink(
		r.Broken[0].Script,
		func(s *scenariofile.Script) bool { return Judge(s, simulateFaulty(s)).Rule == 2 },
		1000,
	)
	if len(small.Faults) != 1 || small.Faults[0].Kind != "stall" || small.Gateways.Count != 2 ||
		small.Pools.Count != 1 ||
		small.Length > 5000 {
		t.Errorf(
			"reduced to %d gateways, %d switches, %v ms, %v",
			small.Gateways.Count,
			small.Pools.Count,
			small.Length,
			small.Faults,
		)
	}
}
