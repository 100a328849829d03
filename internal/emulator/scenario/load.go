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

// BuiltIn returns one of the built-in scenarios, with some values overridden, e.g. "pools.count=6".
func BuiltIn(name string, set ...string) (*scenariofile.Script, error) {
	src, err := builtIn.ReadFile("days/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("scenario %q: not among the built-in ones: %s", name,
			strings.Join(BuiltInNames(), ", "))
	}
	b, err := hclconfig.Parse(name+".hcl", src)
	if err != nil {
		return nil, err
	}
	return readWithOverrides(b, set)
}

// BuiltInNames returns the names of the built-in scenarios.
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

// Load reads a scenario: an HCL file, a JSON file as written by hunts or by the external simulator, or a built-in
// one by its name. Overrides are not applied to JSON files.
func Load(name string, set ...string) (*scenariofile.Script, error) {
	switch {
	case strings.HasSuffix(name, ".json"):
		src, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("scenario: %w", err)
		}
		var head struct{ V int }
		if err := json.Unmarshal(src, &head); err == nil && head.V > 0 { // written by the external simulator
			s, _, err := scenariofile.FromSimulator(src)
			return s, err
		}
		s := &scenariofile.Script{}
		if err := json.Unmarshal(src, s); err != nil {
			return nil, fmt.Errorf("scenario %s: %w", name, err)
		}
		return s, nil
	case strings.HasSuffix(name, ".hcl"):
		b, err := hclfile.Load(name)
		if err != nil {
			return nil, err
		}
		return readWithOverrides(b, set)
	}
	return BuiltIn(name, set...)
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
