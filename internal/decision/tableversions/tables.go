// Package tableversions decides how the number table of a running gateway changes: one change at a time, each checked
// and stored before it takes effect; a change that fails has no effect. The package does no I/O: it requests work
// from a Driver, which reports the results, so it needs no file, clock or goroutine. Package tablestore has the
// files.
package tableversions

import (
	"errors"
	"fmt"
	"slices"

	"cobaltpier/internal/decision/numberplan"
)

//tally:decisions

// Errors that reject a change.
var (
	ErrSuperseded = errors.New("number table: replaced by a later change before this one was checked")
	ErrNoPrevious = errors.New("number table: there is no table before the current one")
	ErrSame       = errors.New("number table: this table is already running")
	ErrOlder      = errors.New("number table: older version than the running one; to go back, use number back")
)

// Source is the table that a change leads to: a compact form, or the serial number of a stored table.
type Source struct {
	Form    []byte
	Comment string
	Serial  uint64 // to go back: the serial number of the stored table
}

// Checked is the result of checking a source.
type Checked struct {
	Table *numberplan.Table
	Form  []byte
	Err   error
}

// Driver does the work of a keeper. Each Check and Keep is answered once.
type Driver interface {
	// Check reads, compiles and checks a source while the running table stays in use. The answer is Keeper.Checked.
	Check(Source)
	// Keep stores a table as the running one; history is the state before the change. The answer is Keeper.Kept.
	// Serial is 0 for a new table.
	Keep(c Checked, note string, serial uint64, history History)
	// Swap makes new calls use a table, at once.
	Swap(*numberplan.Table)
}

// Keeper tracks the running table and the changes in progress.
type Keeper struct {
	Running *numberplan.Table // nil: none yet
	History History
	driver  Driver
	current *change // the change that is being checked or stored
	waiting *change // the change that starts next; a later one replaces it
}

// History lists the tables that a gateway runs and ran, by their serial numbers in the store.
type History struct {
	Running  uint64   // 0: none
	Previous []uint64 // those that ran before, oldest first
}

// Activate returns the history once a serial runs. If it is the one that ran just before, this is a step back, and
// it is removed from those before.
func (s History) Activate(serial uint64) History {
	count := len(s.Previous)
	if count > 0 && s.Previous[count-1] == serial {
		return History{serial, slices.Clone(s.Previous[:count-1])}
	}
	before := slices.Clone(s.Previous)
	if s.Running != 0 {
		before = append(before, s.Running)
	}
	return History{serial, before[max(0, len(before)-MaxKept):]}
}

// Retains reports whether a serial stays in the store: the running one, those before it and the last MaxKept serials,
// which include tables that were rolled back.
func (s History) Retains(serial, latest uint64) bool {
	return serial == s.Running || slices.Contains(s.Previous, serial) || serial+MaxKept > latest
}

// Recover finds the table to run after a start: the running one of the history or, if that can't be read or does not
// fit the gateway any more, the latest before it that does. problems tells why tables were skipped. No table and no
// problems mean that nothing is stored.
func (s History) Recover(
	loadForm func(serial uint64) ([]byte, error),
	available numberplan.Names,
) (running *numberplan.Table, recovered History, problems []error) {
	if s.Running == 0 {
		return nil, History{}, nil
	}
	for serials := append(slices.Clone(s.Previous), s.Running); len(serials) > 0; serials = serials[:len(serials)-1] {
		serial := serials[len(serials)-1]
		form, err := loadForm(serial)
		if err == nil {
			c := Check(form, available)
			if err = c.Err; err == nil {
				return c.Table, History{serial, serials[:len(serials)-1]}, problems
			}
		}
		problems = append(problems, err)
	}
	return nil, History{}, problems
}

type change struct {
	Source
	checked Checked
	storing bool
	done    func(error)
}

// New returns a keeper for a gateway that runs a table, nil for none, with the history of its store.
func New(driver Driver, running *numberplan.Table, history History) *Keeper {
	return &Keeper{driver: driver, Running: running, History: history}
}

// Put requests a change to a new table. done is called once, with the result. While another change is in progress
// this one waits; a change that was waiting already fails with ErrSuperseded.
func (k *Keeper) Put(form []byte, note string, done func(error)) {
	k.submit(&change{Source: Source{Form: form, Comment: note}, done: done})
}

// Back requests a return to the table that ran before the current one.
func (k *Keeper) Back(done func(error)) {
	k.submit(&change{done: done})
}

func (k *Keeper) submit(c *change) {
	if k.current != nil {
		if k.waiting != nil {
			k.waiting.done(ErrSuperseded)
		}
		k.waiting = c
		return
	}
	k.start(c)
}

func (k *Keeper) start(c *change) {
	if c.Form == nil { // Back: the table to return to is known only now
		if len(k.History.Previous) == 0 {
			c.done(ErrNoPrevious)
			k.finish()
			return
		}
		c.Serial = k.History.Previous[len(k.History.Previous)-1]
	}
	k.current = c
	k.driver.Check(c.Source)
}

func (k *Keeper) finish() {
	k.current = nil
	if c := k.waiting; c != nil {
		k.waiting = nil
		k.start(c)
	}
}

func (k *Keeper) reject(err error) {
	k.current.done(err)
	k.finish()
}

// Checked takes the result of Driver.Check.
func (k *Keeper) Checked(result Checked) {
	c := k.current
	if c == nil || c.storing {
		return
	}
	switch {
	case result.Err != nil:
		k.reject(result.Err)
	case k.Running != nil && result.Table.Sum == k.Running.Sum:
		k.reject(ErrSame)
	case k.Running != nil && c.Serial == 0 && result.Table.Version < k.Running.Version:
		k.reject(fmt.Errorf("%w: version %d, running version %d", ErrOlder, result.Table.Version, k.Running.Version))
	default:
		c.checked, c.storing = result, true
		k.driver.Keep(result, c.Comment, c.Serial, k.History)
	}
}

// Kept takes the result of Driver.Keep, with the serial of the stored table. A table that could not be stored is not
// used, because after a restart another one would run.
func (k *Keeper) Kept(serial uint64, err error) {
	c := k.current
	if c == nil || !c.storing {
		return
	}
	if err != nil {
		k.reject(fmt.Errorf("number table: not stored, so not used: %w", err))
		return
	}
	k.Running, k.History = c.checked.Table, k.History.Activate(serial)
	k.driver.Swap(k.Running)
	c.done(nil)
	k.finish()
}

// Busy reports whether a change is in progress.
func (k *Keeper) Busy() bool { return k.current != nil }

// MaxKept is how many tables before the running one are kept in the store.
const MaxKept = 16

// Check decodes and compiles a compact form and checks it against the names that a gateway has.
func Check(form []byte, available numberplan.Names) Checked {
	unpacked, err := numberplan.Unpack(form)
	if err != nil {
		return Checked{Err: err}
	}
	t, err := numberplan.Compile(unpacked)
	if err == nil {
		err = t.Fits(available)
	}
	if err != nil {
		return Checked{Err: err}
	}
	return Checked{Table: t, Form: form}
}
