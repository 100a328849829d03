// Package tableversions decides how the number table of a running gateway changes: one change at a time, checked and
// kept before it counts, a bad one changing nothing. It does no work itself: it asks for work, and is told how that
// went; so it knows no file, no clock and no goroutine. Package tablefile has the files.
package tableversions

import (
	"errors"
	"fmt"
	"slices"

	"cobaltpier/internal/decision/numberplan"
)

//tally:decisions

// Errors of changes.
var (
	ErrSuperseded = errors.New("tables: a later change came before this one was checked")
	ErrNoPrevious = errors.New("tables: there is no table before the present one")
	ErrSame       = errors.New("tables: this table runs already")
	ErrOlder      = errors.New("tables: an older version than the running one; to go back say so")
)

// Source is where a change comes from: a table's compact form, or a serial number of the store.
type Source struct {
	Form    []byte
	Comment string
	Serial  uint64 // going back: of the store
}

// Checked is what the check of a source made.
type Checked struct {
	Table *numberplan.Table
	Form  []byte
	Err   error
}

// Driver is what the keeper asks of its driver; each is answered once.
type Driver interface {
	// Check reads, compiles and checks a source beside the running table: answered by Checked.
	Check(Source)
	// Keep writes a table into the store as the one that runs from now on, on a shelf as it is before: answered by Kept.
	// Serial is 0 for a new one.
	Keep(c Checked, note string, serial uint64, history Shelf)
	// Swap gives new calls a table, at once.
	Swap(*numberplan.Table)
}

// Keeper holds what runs and what is on its way.
type Keeper struct {
	Running *numberplan.Table // nil: none yet
	Shelf   Shelf
	driver  Driver
	current *change // checked or kept at present
	waiting *change // the one that waits: the latest wins
}

// Shelf is what the store says to run, by serials.
type Shelf struct {
	Running uint64   // 0: none
	Before  []uint64 // those that ran before, the latest last
}

// Take is the shelf once a serial runs: back, where it is the one before.
func (s Shelf) Take(serial uint64) Shelf {
	n := len(s.Before)
	if n > 0 && s.Before[n-1] == serial {
		return Shelf{serial, slices.Clone(s.Before[:n-1])}
	}
	before := slices.Clone(s.Before)
	if s.Running != 0 {
		before = append(before, s.Running)
	}
	return Shelf{serial, before[max(0, len(before)-MaxKept):]}
}

// Keeps tells whether a serial stays in the store: what the shelf has, and of those that were gone back from the
// latest.
func (s Shelf) Keeps(serial, latest uint64) bool {
	return serial == s.Running || slices.Contains(s.Before, serial) || serial+MaxKept > latest
}

// Recover finds what runs after a start: what the shelf says, or, where that can't be read or does not fit the gateway
// any more, the latest before it that can. problems say what was passed over; nil and no problems: nothing is kept.
func (s Shelf) Recover(
	loadForm func(serial uint64) ([]byte, error),
	available numberplan.Names,
) (running *numberplan.Table, recovered Shelf, problems []error) {
	if s.Running == 0 {
		return nil, Shelf{}, nil
	}
	for serials := append(slices.Clone(s.Before), s.Running); len(serials) > 0; serials = serials[:len(serials)-1] {
		serial := serials[len(serials)-1]
		form, err := loadForm(serial)
		if err == nil {
			c := Check(form, available)
			if err = c.Err; err == nil {
				return c.Table, Shelf{serial, serials[:len(serials)-1]}, problems
			}
		}
		problems = append(problems, err)
	}
	return nil, Shelf{}, problems
}

type change struct {
	Source
	checked Checked
	keeping bool
	done    func(error)
}

// New makes a keeper for a gateway that runs a table, maybe none, as the shelf says.
func New(driver Driver, running *numberplan.Table, history Shelf) *Keeper {
	return &Keeper{driver: driver, Running: running, Shelf: history}
}

// Put asks for a change to a new table. done hears how it went, once. While another change is on its way this one
// waits; one that waited already is overtaken.
func (k *Keeper) Put(form []byte, note string, done func(error)) {
	k.submit(&change{Source: Source{Form: form, Comment: note}, done: done})
}

// Back asks to go back to the table that ran before the present one.
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
	if c.Form == nil { // back: which one that is is known only now
		if len(k.Shelf.Before) == 0 {
			c.done(ErrNoPrevious)
			k.finish()
			return
		}
		c.Serial = k.Shelf.Before[len(k.Shelf.Before)-1]
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

// Checked hears how the check went.
func (k *Keeper) Checked(result Checked) {
	c := k.current
	if c == nil || c.keeping {
		return
	}
	switch {
	case result.Err != nil:
		k.reject(result.Err)
	case k.Running != nil && result.Table.Sum == k.Running.Sum:
		k.reject(ErrSame)
	case k.Running != nil && c.Serial == 0 && result.Table.Version < k.Running.Version:
		k.reject(fmt.Errorf("%w: %d, %d runs", ErrOlder, result.Table.Version, k.Running.Version))
	default:
		c.checked, c.keeping = result, true
		k.driver.Keep(result, c.Comment, c.Serial, k.Shelf)
	}
}

// Kept hears how the store took it, and under which serial. What is not kept does not run: after a restart another
// table would.
func (k *Keeper) Kept(serial uint64, err error) {
	c := k.current
	if c == nil || !c.keeping {
		return
	}
	if err != nil {
		k.reject(fmt.Errorf("tables: not kept, so not used: %w", err))
		return
	}
	k.Running, k.Shelf = c.checked.Table, k.Shelf.Take(serial)
	k.driver.Swap(k.Running)
	c.done(nil)
	k.finish()
}

// Busy tells whether a change is on its way.
func (k *Keeper) Busy() bool { return k.current != nil }

// MaxKept is how many tables before the running one are kept.
const MaxKept = 16

// Check reads, compiles and checks a form for a gateway that has some names.
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
