// Cobalt-lab is the test laboratory for gateways: it runs, measures and checks them.
package main

import (
	"context"
	"fmt"
	"os"

	"cobaltpier/internal/cli/labcli"
)

func main() {
	err := labcli.New().ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "cobalt-lab:", err)
	}
	os.Exit(labcli.ExitCode(err))
}
