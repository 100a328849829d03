package main

import (
	"errors"
	"fmt"
)

var errNothingJudged = errors.New("no call came to be judged")

var errNoDisruption = errors.New("the disruption met nothing that it could harm")

// numberOf returns a called number.
func numberOf(n int) string { return fmt.Sprintf("7f3a9c21%08x", n) }
