// Benchlink runs the decision module on the bench's wire: batches on standard input, replies on standard
// output.
package main

import (
	"fmt"
	"os"

	"cobaltpier/benchwire"
	"cobaltpier/brain"
	"cobaltpier/contact"
	"cobaltpier/host"
)

func main() {
	err := benchwire.Serve(os.Stdin, os.Stdout, func(s *contact.Settings, h contact.Host) host.Module {
		return brain.New(s, h)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
