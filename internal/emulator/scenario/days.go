package scenario

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/gateway/hclfile"
	"cobaltpier/internal/hclconfig"
)

//go:embed days/*.hcl
var days embed.FS

// Day is one of the days that come with the program, with some values changed ("endpoints.count=6").
func Day(name string, set ...string) (*scenariofile.Script, error) {
	src, err := days.ReadFile("days/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("day %q: not among those that come with the program: %s", name, strings.Join(Days(), ", "))
	}
	b, err := hclconfig.Parse(name+".hcl", src)
	if err != nil {
		return nil, err
	}
	return read(b, set)
}

// Days are the names of the days that come with the program.
func Days() []string {
	var of []string
	list, err := days.ReadDir("days")
	if err != nil {
		return nil
	}
	for _, f := range list {
		of = append(of, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	return of
}

// Load reads a day: a file of HCL, one of JSON as hunts write them, or the name of one that comes with the program.
func Load(name string, set ...string) (*scenariofile.Script, error) {
	switch {
	case strings.HasSuffix(name, ".json"):
		src, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("day: %w", err)
		}
		var head struct{ V int }
		if err := json.Unmarshal(src, &head); err == nil && head.V > 0 { // a day of the bench
			s, _, err := scenariofile.FromBench(src)
			return s, err
		}
		s := &scenariofile.Script{}
		if err := json.Unmarshal(src, s); err != nil {
			return nil, fmt.Errorf("day %s: %w", name, err)
		}
		return s, nil
	case strings.HasSuffix(name, ".hcl"):
		b, err := hclfile.Load(name)
		if err != nil {
			return nil, err
		}
		return read(b, set)
	}
	return Day(name, set...)
}

func read(b *hclconfig.Block, set []string) (*scenariofile.Script, error) {
	for _, x := range set {
		name, value, ok := strings.Cut(x, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q: want NAME=VALUE", x)
		}
		if err := b.Override(strings.TrimSpace(name), strings.TrimSpace(value)); err != nil {
			return nil, err
		}
	}
	return scenariofile.Read(b)
}
