package stage

import (
	"embed"
	"fmt"

	"cobaltpier/conf"
	"cobaltpier/lab/script"
)

//go:embed days/*.hcl
var days embed.FS

// Day is one of the days that come with the program.
func Day(name string) (*script.Script, error) {
	src, err := days.ReadFile("days/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("day %q: not among those that come with the program", name)
	}
	b, err := conf.Parse(name+".hcl", src)
	if err != nil {
		return nil, err
	}
	return script.Read(b)
}
