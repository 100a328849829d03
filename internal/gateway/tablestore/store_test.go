package tablestore

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/decision/tableversions"
)

type fataler interface{ Fatal(...any) }

func formOf(t fataler, version int, group string) []byte {
	_, f, err := numberplan.Parse(
		"t.hcl",
		[]byte(
			fmt.Sprintf(
				"name = \"t\"\nversion = %d\nroute \"r\" {\n group %q {\n }\n}\nplan \"start\" {\n rule \"\" {\n route = "+
					"\"r\"\n }\n}\n",
				version,
				group,
			),
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	b, err := numberplan.Pack(f)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var has = numberplan.Names{Groups: []string{"TG-0", "TG-1"}}

// bench does a keeper's work by hand, on a real store.
type bench struct {
	t       testing.TB
	k       *tableversions.Keeper
	s       *Store
	check   []tableversions.Source
	keep    []func()
	swapped []*numberplan.Table
	full    error // of the store
}

func (b *bench) Check(s tableversions.Source) { b.check = append(b.check, s) }
func (b *bench) Keep(c tableversions.Checked, note string, serial uint64, shelf tableversions.Shelf) {
	b.keep = append(b.keep, func() {
		if b.full != nil {
			b.k.Kept(0, b.full)
			return
		}
		b.k.Kept(b.s.Keep(c, note, serial, shelf, time.Unix(1.8e9, 0)))
	})
}
func (b *bench) Swap(t *numberplan.Table) { b.swapped = append(b.swapped, t) }

func newBench(t testing.TB) *bench {
	s, err := Open(filepath.Join(t.TempDir(), "tables"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	b := &bench{t: t, s: s}
	b.k = tableversions.New(b, nil, tableversions.Shelf{})
	return b
}

// step does one piece of the work that waits; false: there is none.
func (b *bench) step() bool {
	switch {
	case len(b.keep) > 0:
		do := b.keep[0]
		b.keep = b.keep[1:]
		do()
	case len(b.check) > 0:
		s := b.check[0]
		b.check = b.check[1:]
		if s.Form == nil {
			var err error
			if s.Form, err = b.s.Form(s.Serial); err != nil {
				b.k.Checked(tableversions.Checked{Err: err})
				return true
			}
		}
		b.k.Checked(tableversions.Check(s.Form, has))
	default:
		return false
	}
	return true
}

func (b *bench) put(form []byte) error {
	err := errors.New("not heard")
	b.k.Put(form, "", func(e error) { err = e })
	for b.step() {
	}
	return err
}

func (b *bench) back() error {
	err := errors.New("not heard")
	b.k.Back(func(e error) { err = e })
	for b.step() {
	}
	return err
}

// A bad change says why and changes nothing, neither what runs nor what the store says to run.
func TestBadChanges(t *testing.T) {
	b := newBench(t)
	if err := b.put(formOf(t, 1, "TG-0")); err != nil {
		t.Fatal(err)
	}
	first := b.k.Running
	for name, c := range map[string]struct {
		form []byte
		full error
		want string
	}{
		"damaged":           {formOf(t, 2, "TG-1")[:30], nil, "damaged"},
		"not a table":       {[]byte("x"), nil, "neither HCL nor the compact form"},
		"an unknown group":  {formOf(t, 2, "TG-9"), nil, `trunk group "TG-9"`},
		"the same":          {formOf(t, 1, "TG-0"), nil, "runs already"},
		"an older one":      {formOf(t, 0, "TG-1"), nil, "older version"},
		"the store is full": {formOf(t, 2, "TG-1"), errors.New("no space"), "not kept, so not used: no space"},
	} {
		b.full = c.full
		if err := b.put(c.form); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
		shelf, _ := b.s.Shelf()
		now, before := shelf.Running, shelf.Before
		if b.k.Running != first || len(b.swapped) != 1 || now != 1 || len(before) != 0 || b.k.Busy() {
			t.Errorf("%s: changed: %v, store %d %v", name, b.k.Running, now, before)
		}
	}
}

// A change that comes while the one before is checked waits; of several that wait the latest goes on, and the others
// hear that they were overtaken.
func TestWhileCompiling(t *testing.T) {
	b := newBench(t)
	said := map[int]error{}
	for v := 1; v <= 4; v++ {
		b.k.Put(formOf(t, v, "TG-0"), "", func(err error) { said[v] = err })
	}
	if len(b.check) != 1 {
		t.Fatalf("%d checks at once", len(b.check))
	}
	for b.step() {
	}
	if said[1] != nil || !errors.Is(said[2], tableversions.ErrOvertaken) ||
		!errors.Is(said[3], tableversions.ErrOvertaken) ||
		said[4] != nil ||
		len(said) != 4 ||
		b.k.Running.Version != 4 ||
		len(b.swapped) != 2 {
		t.Errorf("%v, runs %d", said, b.k.Running.Version)
	}
}

// Going back goes one further each time, and a new table after it goes on from there.
func TestBack(t *testing.T) {
	b := newBench(t)
	if err := b.back(); !errors.Is(err, tableversions.ErrNoBefore) {
		t.Errorf("from nothing: %v", err)
	}
	for v := 1; v <= 3; v++ {
		if err := b.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.back(); err != nil || b.k.Running.Version != 2 {
		t.Fatalf("%v, runs %d", err, b.k.Running.Version)
	}
	if err := b.back(); err != nil || b.k.Running.Version != 1 {
		t.Fatalf("%v, runs %d", err, b.k.Running.Version)
	}
	if err := b.back(); !errors.Is(err, tableversions.ErrNoBefore) {
		t.Fatalf("%v", err)
	}
	if err := b.put(formOf(t, 5, "TG-1")); err != nil {
		t.Fatal(err)
	}
	if err := b.back(); err != nil || b.k.Running.Version != 1 {
		t.Fatalf("%v, runs %d", err, b.k.Running.Version)
	}
}

// A table that was damaged in the store is not gone back to, and is listed with its fault.
func TestDamagedStore(t *testing.T) {
	b := newBench(t)
	for v := 1; v <= 2; v++ {
		if err := b.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
	}
	err := b.s.db.Update(func(tx *bbolt.Tx) error {
		f := append([]byte(nil), tx.Bucket(forms).Get(key(1))...)
		f[len(f)-2] ^= 1
		return tx.Bucket(forms).Put(key(1), f)
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.back(); !errors.Is(err, ErrDamaged) || b.k.Running.Version != 2 {
		t.Errorf("%v, runs %d", err, b.k.Running.Version)
	}
	list, err := b.s.List()
	if err != nil || len(list) != 2 || list[0].Fault != "" || list[1].Fault == "" || list[0].Serial != 2 {
		t.Errorf("%v: %v", err, list)
	}
	recovered := func(has numberplan.Names) (*numberplan.Table, tableversions.Shelf, []error) {
		shelf, err := b.s.Shelf()
		if err != nil {
			t.Fatal(err)
		}
		return shelf.Recover(b.s.Form, has)
	}
	// after a start the latest that can be read runs; here that is the third, then the second
	if err := b.put(formOf(t, 3, "TG-1")); err != nil {
		t.Fatal(err)
	}
	if run, then, problems := recovered(has); run.Version != 3 || then.Running != 3 || !slices.Equal(then.Before,
		[]uint64{1, 2}) ||
		problems != nil {
		t.Errorf("%v, %v, %v", run, then, problems)
	}
	if run, then, problems := recovered(numberplan.Names{Groups: []string{"TG-0"}}); run.Version != 2 ||
		then.Running != 2 || !slices.Equal(then.Before, []uint64{1}) ||
		len(problems) != 1 {
		t.Errorf("%v, %v, %v", run, then, problems)
	}
	// going on after a start that passed one over goes on from what was found, also after the next start
	run, then, _ := recovered(numberplan.Names{Groups: []string{"TG-0"}})
	b.k = tableversions.New(b, run, then)
	if err := b.put(formOf(t, 4, "TG-0")); err != nil {
		t.Fatal(err)
	}
	if shelf, _ := b.s.Shelf(); shelf.Running != 4 || !slices.Equal(shelf.Before, []uint64{1, 2}) {
		t.Errorf("the store says %v", shelf)
	}
	if run, _, problems := recovered(numberplan.Names{}); run != nil || len(problems) != 3 {
		t.Errorf("%v, %v", run, problems)
	}
}

// Tables that were gone back from don't fill the store.
func TestBounded(t *testing.T) {
	b := newBench(t)
	b.s.db.NoSync = true
	for v := 1; v <= 100; v++ {
		if err := b.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
		if v%3 == 0 {
			if err := b.back(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if list, err := b.s.List(); err != nil || len(list) > 2*tableversions.MaxKept+1 ||
		len(list) < tableversions.MaxKept {
		t.Errorf("%d are kept, %v", len(list), err)
	}
}

// The store beside a plain model: what it says to run, what ran before, and that no more is kept than may be; opened
// anew between any two changes.
func TestStoreModel(t *testing.T) {
	dir := t.TempDir()
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		runs++
		file := filepath.Join(dir, fmt.Sprint(runs))
		open := func(b *bench) {
			s, err := Open(file)
			if err != nil {
				rt.Fatal(err)
			}
			s.db.NoSync = true // the test's time; nothing is cut off here
			b.s = s
			shelf, err := s.Shelf()
			if err != nil {
				rt.Fatal(err)
			}
			var table *numberplan.Table
			if shelf.Running != 0 {
				f, err := s.Form(shelf.Running)
				if err != nil {
					rt.Fatal(err)
				}
				table = tableversions.Check(f, has).Table
			}
			b.k = tableversions.New(b, table, shelf)
		}
		b := &bench{t: t}
		open(b)
		defer func() { b.s.Close() }()
		var model []uint64 // versions, the running one last
		next := uint64(1)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				if err := b.s.Close(); err != nil {
					rt.Fatal(err)
				}
				open(b)
			case 1:
				err := b.back()
				if len(model) > 1 {
					model = model[:len(model)-1]
					if err != nil {
						rt.Fatal(err)
					}
				} else if !errors.Is(err, tableversions.ErrNoBefore) {
					rt.Fatal(err)
				}
			default:
				if err := b.put(formOf(rt, int(next), "TG-0")); err != nil {
					rt.Fatal(err)
				}
				model = append(model, next)
				next++
				if len(model) > tableversions.MaxKept+1 {
					model = model[1:]
				}
			}
			var got []uint64
			shelf, _ := b.s.Shelf()
			for _, n := range shelf.Before {
				f, err := b.s.Form(n)
				if err != nil {
					rt.Fatal(err)
				}
				got = append(got, tableversions.Check(f, has).Table.Version)
			}
			if b.k.Running != nil {
				got = append(got, b.k.Running.Version)
			}
			if !slices.Equal(got, model) {
				rt.Fatalf("runs and ran %v, want %v", got, model)
			}
		}
	})
}

// A store that another process has is an error that says so, after a second.
func TestTaken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tables")
	s, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := Open(file); err == nil || !strings.Contains(err.Error(), "another process has it") {
		t.Error(err)
	}
}
