// Benchlink runs the routing policy over the simulator's protocol: batches on standard input, replies on standard
// output.
package main

import (
	"fmt"
	"os"

	"cobaltpier/internal/gateway/simadapter"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

func main() {
	err := simadapter.Serve(os.Stdin, os.Stdout, func(s *routing.Settings, h routing.Host) routing.Policy {
		return router.New(s, h)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
