// Package simadapter hosts routing policies behind the protocol of the platform's simulator: lines of text, with
// tabs between the values, on standard input and output. It makes no routing decisions.
//
// Events arrive in rounds: a line "round" with the time, the events, and a line "eob". The adapter writes the
// actions of the policies and, at the end of the round, a line "ready". A "roster" is a numbered endpoint list that
// an event refers to.
package simadapter

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/routing"
)

// inputLine is a line of input, read part by part. It keeps the first error.
type inputLine struct {
	lineNumber int
	kind       string
	parts      []string
	position   int
	err        error
}

// fail records that a part is not what was expected, unless there is an error already.
func (l *inputLine) fail(name, want, got string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: %s: want %s, got %q", l.lineNumber, l.kind, name, want, got)
	}
}

// text returns the next part, or "" if it is "-", which stands for an absent value.
func (l *inputLine) text(name string) string {
	if l.position >= len(l.parts) {
		l.fail(name, "a value", "end of line")
		return ""
	}
	s := l.parts[l.position]
	l.position++
	if s == "-" {
		return ""
	}
	return s
}

// float returns a number, or absentValue if the value is absent.
func (l *inputLine) float(name string, absentValue float64) float64 {
	s := l.text(name)
	if s == "" {
		return absentValue
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		l.fail(name, "a number", s)
	}
	return f
}

// integer returns a whole number from lo to hi.
func (l *inputLine) integer(name string, lo, hi int64) int64 {
	s := l.text(name)
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < lo || v > hi {
		l.fail(name, fmt.Sprintf("a whole number from %d to %d", lo, hi), s)
		return lo
	}
	return v
}

func (l *inputLine) flag(name string) bool {
	s := l.text(name)
	if s != "" && s != "0" && s != "1" {
		l.fail(name, "1 or 0", s)
	}
	return s == "1"
}

func (l *inputLine) bytes(name string) []byte {
	s := l.text(name)
	b, err := hex.DecodeString(s)
	if err != nil {
		l.fail(name, "hex digits", s)
	}
	return b
}

func (l *inputLine) outcome(name string, codes map[string]routing.Outcome) routing.Outcome {
	s := l.text(name)
	outcome, ok := codes[s]
	if !ok {
		l.fail(name, "an outcome code", s)
	}
	return outcome
}

// finish returns the first error of the line; parts that are left over are an error too.
func (l *inputLine) finish() error {
	if l.err == nil && l.position < len(l.parts) {
		l.fail("end of line", fmt.Sprintf("%d values", l.position), strings.Join(l.parts[l.position:], " "))
	}
	return l.err
}

var outcomes = map[string]routing.Outcome{
	"done": routing.Completed, "err": routing.Failed, "busy": routing.Overloaded, "etimedout": routing.TimedOut,
	"econnrefused": routing.ConnectionRefused, "econnreset": routing.Reset, "ecanceled": routing.Canceled,
	"skipped": routing.NotSent,
}

// loadReport updates a load report with the values of the next part, which are in the order of fields. It tells
// whether a figure of the endpoint's processor was set. An absent or negative value leaves the older one.
func (l *inputLine) loadReport(fields []string, report *routing.LoadReport) bool {
	s := l.text("telemetry")
	if s == "" {
		return false
	}
	values := strings.Split(s, ",")
	if len(values) < len(fields) {
		l.fail("telemetry", fmt.Sprintf("%d values", len(fields)), s)
		return false
	}
	complete := false
	for i, f := range fields {
		if values[i] == "" || values[i] == "-" {
			continue
		}
		v, err := strconv.ParseFloat(values[i], 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			l.fail("telemetry", "numbers", s)
			return false
		}
		if deployment.SetLoadReportField(report, f, v) {
			complete = true
		}
	}
	return complete
}
