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
var builtIn embed.FS

// Day is one of the days that come with the program, with some values changed ("endpoints.count=6").
func Day(name string, set ...string) (*scenariofile.Script, error) {
	src, err := builtIn.ReadFile("days/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("day %q: not among those that come with the program: %s", name,
			strings.Join(BuiltInNames(), ", "))
	}
	b, err := hclconfig.Parse(name+".hcl", src)
	if err != nil {
		return nil, err
	}
	return readWithOverrides(b, set)
}

// BuiltInNames are the names of the days that come with the program.
func BuiltInNames() []string {
	var names []string
	files, err := builtIn.ReadDir("days")
	if err != nil {
		return nil
	}
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	return names
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
			s, _, err := scenariofile.FromSimulator(src)
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
		return readWithOverrides(b, set)
	}
	return Day(name, set...)
}

func readWithOverrides(b *hclconfig.Block, overrides []string) (*scenariofile.Script, error) {
	for _, override := range overrides {
		name, value, ok := strings.Cut(override, "=")
		if !ok {
			return nil, fmt.Errorf("setting %q: want NAME=VALUE", override)
		}
		if err := b.Override(strings.TrimSpace(name), strings.TrimSpace(value)); err != nil {
			return nil, err
		}
	}
	return scenariofile.Read(b)
}
