// Package portability looks up the routing number of a ported number by ENUM (RFC 6116), with the portability
// parameters of RFC 4694. It follows non-terminal rules to other domains, up to a limit and without loops. It does no
// I/O.
package portability

import (
	"errors"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/protocol/dnsclient"
)

//tally:decisions

// maxSteps is the maximum number of domains that one look-up visits (RFC 6116 5.2.1 requires at least five).
const maxSteps = 5

// Resolver looks up the rules of a domain; dnsclient.Client implements it.
type Resolver interface {
	Query(now float64, name string, timeout float64, done func(now float64, a dnsclient.Answer)) (stop func())
}

// Finder looks up ported numbers.
type Finder struct {
	Resolver Resolver
	Apex     string
	Services []string // enumservices whose rules are used, e.g. "pstn:tel" (RFC 4769)
	Counts   Counts
}

// Counts are the counters of a finder.
type Counts struct {
	Ported     uint64 `json:"ported"`
	NotPorted  uint64 `json:"same"`   // look-ups without a routing number: not ported, unknown, or no usable rule
	Unanswered uint64 `json:"silent"` // look-ups for which no server gave a usable answer
	Invalid    uint64 `json:"bad"`    // look-ups ended by an invalid number, invalid rules, a loop or too many steps
	Stale      uint64 `json:"stale"`  // expired answers used, at any step of a look-up
}

// Resolve looks up a number, given as digits only. done is called once within timeout ms, possibly before Resolve
// returns. stop cancels the look-up; done is not called after that. Invalid rules give NoAnswer, as a missing answer
// does; the caller passes it to the number table, whose action "silent" applies.
func (f *Finder) Resolve(
	now float64,
	digits string,
	timeout float64,
	done func(now float64, found numberplan.LookupResult),
) (stop func()) {
	name, err := enum.Domain(digits, f.Apex)
	if err != nil {
		f.Counts.Invalid++
		done(now, numberplan.LookupResult{Answer: numberplan.NoAnswer})
		return func() {}
	}
	deadline, seen := now+timeout, map[string]bool{}
	canceled, cancelQuery := false, func() {}
	var step func(now float64, name string)
	step = func(now float64, name string) {
		if seen[name] || len(seen) == maxSteps {
			f.Counts.Invalid++
			done(now, numberplan.LookupResult{Answer: numberplan.NoAnswer})
			return
		}
		seen[name] = true
		onAnswer := func(now float64, a dnsclient.Answer) {
			if canceled {
				return
			}
			if a.Stale {
				f.Counts.Stale++
			}
			next, found := f.interpret("+"+digits, a)
			if next != "" {
				step(now, next)
				return
			}
			done(now, found)
		}
		cancelQuery = f.Resolver.Query(now, name, deadline-now, onAnswer)
	}
	step(now, name)
	return func() {
		canceled = true
		cancelQuery()
	}
}

// interpret returns the next domain of a non-terminal rule, or the final result, and counts the latter.
func (f *Finder) interpret(number string, a dnsclient.Answer) (next string, found numberplan.LookupResult) {
	switch a.Status {
	case dnsclient.Failed:
		f.Counts.Unanswered++
		return "", numberplan.LookupResult{Answer: numberplan.NoAnswer}
	case dnsclient.None:
		f.Counts.NotPorted++
		return "", numberplan.LookupResult{Answer: numberplan.NotPorted}
	}
	applied, err := enum.Apply(number, a.Rules, f.Services...)
	switch {
	case errors.Is(err, enum.ErrNoRule): // rules for other services only
		f.Counts.NotPorted++
		return "", numberplan.LookupResult{Answer: numberplan.NotPorted}
	case err == nil && applied.Next != "":
		return applied.Next, numberplan.LookupResult{}
	}
	var ported enum.Ported
	if err == nil {
		_, ported, err = enum.Tel(applied.URI)
	}
	switch {
	case err != nil:
		f.Counts.Invalid++
		return "", numberplan.LookupResult{Answer: numberplan.NoAnswer}
	case ported.Routing == "":
		f.Counts.NotPorted++
		return "", numberplan.LookupResult{Answer: numberplan.NotPorted, Carrier: ported.Carrier}
	}
	f.Counts.Ported++
	return "", numberplan.LookupResult{Answer: numberplan.Ported, Routing: ported.Routing, Carrier: ported.Carrier}
}
