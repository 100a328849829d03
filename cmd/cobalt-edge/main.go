// Cobalt-edge is a gateway that takes calls by SIP and sets them up over trunk groups.
package main

import (
	"context"
	"fmt"
	"os"

	"cobaltpier/internal/cli/edgecli"
)

func main() {
	if err := edgecli.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "cobalt-edge:", err)
		os.Exit(1)
	}
}
