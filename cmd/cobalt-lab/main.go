// Cobalt-lab is the laboratory.
package main

import (
	"context"
	"fmt"
	"os"

	"cobaltpier/labcmd"
)

func main() {
	err := labcmd.New().ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "cobalt-lab:", err)
	}
	os.Exit(labcmd.Status(err))
}
