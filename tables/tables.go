// Package tables decides how the number table of a running gateway changes: one change at a time, checked and kept before
// it counts, a bad one changing nothing. It does no work itself: it asks for work, and is told how that went; so it
// knows no file, no clock and no goroutine.
package tables

import (
	"errors"
	"fmt"

	"cobaltpier/api"
	"cobaltpier/number"
)

//tally:decisions

// Errors of changes.
var (
	ErrOvertaken = errors.New("tables: a later change came before this one was checked")
	ErrNoBefore  = errors.New("tables: there is no table before the present one")
	ErrSame      = errors.New("tables: this table runs already")
	ErrOlder     = errors.New("tables: an older version than the running one; to go back say so")
)

// Source is where a change comes from: a table's compact form, or a serial number of the store.
type Source struct {
	Form   []byte
	Note   string
	Serial uint64 // going back: of the store
}

// Checked is what the check of a source made.
type Checked struct {
	Table *number.Table
	Form  []byte
	Err   error
}

// Work is what the keeper asks of its driver; each is answered once.
type Work interface {
	// Check reads, compiles and checks a source beside the running table: answered by Checked.
	Check(Source)
	// Keep writes a table into the store as the one that runs from now on: answered by Kept. Serial is 0 for a new one.
	Keep(c Checked, note string, serial uint64)
	// Swap gives new contacts a table, at once.
	Swap(*number.Table)
}

// Keeper holds what runs and what is on its way.
type Keeper struct {
	Running *number.Table // nil: none yet
	Serial  uint64        // its number in the store
	work    Work
	history []uint64 // serials that ran before, the latest last
	now     *change  // checked or kept at present
	next    *change  // the one that waits: the latest wins
	Swaps   uint64
	Refused uint64
}

type change struct {
	Source
	checked Checked
	keeping bool
	done    func(error)
}

// New makes a keeper for a gateway that runs a table, maybe none, which the store has under a serial; history are the
// serials that ran before it, the latest last.
func New(work Work, running *number.Table, serial uint64, history []uint64) *Keeper {
	return &Keeper{work: work, Running: running, Serial: serial, history: append([]uint64(nil), history...)}
}

// Put asks for a change to a new table. done hears how it went, once. While another change is on its way this one
// waits; one that waited already is overtaken.
func (k *Keeper) Put(form []byte, note string, done func(error)) {
	k.ask(&change{Source: Source{Form: form, Note: note}, done: done})
}

// Back asks to go back to the table that ran before the present one.
func (k *Keeper) Back(done func(error)) {
	k.ask(&change{done: done})
}

func (k *Keeper) ask(c *change) {
	if k.now != nil {
		if k.next != nil {
			k.Refused++
			k.next.done(ErrOvertaken)
		}
		k.next = c
		return
	}
	k.begin(c)
}

func (k *Keeper) begin(c *change) {
	if c.Form == nil { // back: which one that is is known only now
		if len(k.history) == 0 {
			k.Refused++
			c.done(ErrNoBefore)
			k.end()
			return
		}
		c.Serial = k.history[len(k.history)-1]
	}
	k.now = c
	k.work.Check(c.Source)
}

func (k *Keeper) end() {
	k.now = nil
	if c := k.next; c != nil {
		k.next = nil
		k.begin(c)
	}
}

func (k *Keeper) refuse(err error) {
	c := k.now
	k.Refused++
	c.done(err)
	k.end()
}

// Checked hears how the check went.
func (k *Keeper) Checked(x Checked) {
	c := k.now
	if c == nil || c.keeping {
		return
	}
	switch {
	case x.Err != nil:
		k.refuse(x.Err)
	case k.Running != nil && x.Table.Sum == k.Running.Sum:
		k.refuse(ErrSame)
	case k.Running != nil && c.Serial == 0 && x.Table.Version < k.Running.Version:
		k.refuse(fmt.Errorf("%w: %d, %d runs", ErrOlder, x.Table.Version, k.Running.Version))
	default:
		c.checked, c.keeping = x, true
		k.work.Keep(x, c.Note, c.Serial)
	}
}

// Kept hears how the store took it, and under which serial. What is not kept does not run: after a restart another
// table would.
func (k *Keeper) Kept(serial uint64, err error) {
	c := k.now
	if c == nil || !c.keeping {
		return
	}
	if err != nil {
		k.refuse(fmt.Errorf("tables: not kept, so not used: %w", err))
		return
	}
	if c.Serial != 0 {
		k.history = k.history[:len(k.history)-1]
	} else if k.Running != nil {
		k.history = append(k.history, k.Serial)
		if len(k.history) > MostKept {
			k.history = k.history[1:]
		}
	}
	k.Running, k.Serial = c.checked.Table, serial
	k.Swaps++
	k.work.Swap(k.Running)
	c.done(nil)
	k.end()
}

// Busy tells whether a change is on its way.
func (k *Keeper) Busy() bool { return k.now != nil }

// MostKept is how many tables before the running one are kept.
const MostKept = 16

// Check reads, compiles and checks a form for a gateway that has some names.
func Check(form []byte, has number.Names) Checked {
	x, err := number.Unpack(form)
	if err != nil {
		return Checked{Err: err}
	}
	return check(x, form, has)
}

func check(x *api.NumberTable, form []byte, has number.Names) Checked {
	t, err := number.Compile(x)
	if err == nil {
		err = t.Fits(has)
	}
	if err != nil {
		return Checked{Err: err}
	}
	return Checked{Table: t, Form: form}
}
