// Package hclfile reads HCL settings from files; package hclconfig decodes them.
package hclfile

import (
	"fmt"
	"os"

	"cobaltpier/internal/hclconfig"
)

// Load reads and parses a file. Syntax errors name the file and the line.
func Load(name string) (*hclconfig.Block, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return hclconfig.Parse(name, src)
}
