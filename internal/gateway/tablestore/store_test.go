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

var gatewayNames = numberplan.Names{Groups: []string{"TG-0", "TG-1"}}

// testDriver does a keeper's work step by step, on a real store.
type testDriver struct {
	t             testing.TB
	keeper        *tableversions.Keeper
	store         *Store
	pendingChecks []tableversions.Source
	pendingWrites []func()
	swapped       []*numberplan.Table
	writeError    error // if set, the result of every write to the store
}

func (d *testDriver) Check(s tableversions.Source) { d.pendingChecks = append(d.pendingChecks, s) }
func (d *testDriver) Keep(c tableversions.Checked, note string, serial uint64, history tableversions.History) {
	d.pendingWrites = append(d.pendingWrites, func() {
		if d.writeError != nil {
			d.keeper.Kept(0, d.writeError)
			return
		}
		d.keeper.Kept(d.store.Keep(c, note, serial, history, time.Unix(1.8e9, 0)))
	})
}
func (d *testDriver) Swap(t *numberplan.Table) { d.swapped = append(d.swapped, t) }

func newTestDriver(t testing.TB) *testDriver {
	s, err := Open(filepath.Join(t.TempDir(), "tables"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	d := &testDriver{t: t, store: s}
	d.keeper = tableversions.New(d, nil, tableversions.History{})
	return d
}

// step does one piece of pending work; false: there is none.
func (d *testDriver) step() bool {
	switch {
	case len(d.pendingWrites) > 0:
		do := d.pendingWrites[0]
		d.pendingWrites = d.pendingWrites[1:]
		do()
	case len(d.pendingChecks) > 0:
		s := d.pendingChecks[0]
		d.pendingChecks = d.pendingChecks[1:]
		if s.Form == nil {
			var err error
			if s.Form, err = d.store.Form(s.Serial); err != nil {
				d.keeper.Checked(tableversions.Checked{Err: err})
				return true
			}
		}
		d.keeper.Checked(tableversions.Check(s.Form, gatewayNames))
	default:
		return false
	}
	return true
}

func (d *testDriver) put(form []byte) error {
	err := errors.New("done was not called")
	d.keeper.Put(form, "", func(e error) { err = e })
	for d.step() {
	}
	return err
}

func (d *testDriver) back() error {
	err := errors.New("done was not called")
	d.keeper.Back(func(e error) { err = e })
	for d.step() {
	}
	return err
}

// A rejected change reports why and leaves the running table and the store unchanged.
func TestBadChanges(t *testing.T) {
	d := newTestDriver(t)
	if err := d.put(formOf(t, 1, "TG-0")); err != nil {
		t.Fatal(err)
	}
	first := d.keeper.Running
	for name, c := range map[string]struct {
		form       []byte
		writeError error
		want       string
	}{
		"damaged":           {formOf(t, 2, "TG-1")[:30], nil, "damaged"},
		"not a table":       {[]byte("x"), nil, "neither HCL nor the compact form"},
		"an unknown group":  {formOf(t, 2, "TG-9"), nil, `trunk group "TG-9"`},
		"the same":          {formOf(t, 1, "TG-0"), nil, "already running"},
		"an older one":      {formOf(t, 0, "TG-1"), nil, "older version"},
		"the store is full": {formOf(t, 2, "TG-1"), errors.New("no space"), "not stored, so not used: no space"},
	} {
		d.writeError = c.writeError
		if err := d.put(c.form); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
		history, _ := d.store.History()
		running, before := history.Running, history.Previous
		if d.keeper.Running != first || len(d.swapped) != 1 || running != 1 || len(before) != 0 || d.keeper.Busy() {
			t.Errorf("%s: changed: %v, store %d %v", name, d.keeper.Running, running, before)
		}
	}
}

// A change that is requested during the check of another waits. Of several waiting changes only the latest is carried
// out; the others fail with ErrSuperseded.
func TestChangeDuringCheck(t *testing.T) {
	d := newTestDriver(t)
	results := map[int]error{}
	for v := 1; v <= 4; v++ {
		d.keeper.Put(formOf(t, v, "TG-0"), "", func(err error) { results[v] = err })
	}
	if len(d.pendingChecks) != 1 {
		t.Fatalf("%d checks at once", len(d.pendingChecks))
	}
	for d.step() {
	}
	if results[1] != nil || !errors.Is(results[2], tableversions.ErrSuperseded) ||
		!errors.Is(results[3], tableversions.ErrSuperseded) ||
		results[4] != nil ||
		len(results) != 4 ||
		d.keeper.Running.Version != 4 ||
		len(d.swapped) != 2 {
		t.Errorf("%v, runs %d", results, d.keeper.Running.Version)
	}
}

// Each return goes back one more table, and a new table is added to those that are left.
func TestBack(t *testing.T) {
	d := newTestDriver(t)
	if err := d.back(); !errors.Is(err, tableversions.ErrNoPrevious) {
		t.Errorf("return without a table: %v", err)
	}
	for v := 1; v <= 3; v++ {
		if err := d.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.back(); err != nil || d.keeper.Running.Version != 2 {
		t.Fatalf("%v, runs %d", err, d.keeper.Running.Version)
	}
	if err := d.back(); err != nil || d.keeper.Running.Version != 1 {
		t.Fatalf("%v, runs %d", err, d.keeper.Running.Version)
	}
	if err := d.back(); !errors.Is(err, tableversions.ErrNoPrevious) {
		t.Fatalf("%v", err)
	}
	if err := d.put(formOf(t, 5, "TG-1")); err != nil {
		t.Fatal(err)
	}
	if err := d.back(); err != nil || d.keeper.Running.Version != 1 {
		t.Fatalf("%v, runs %d", err, d.keeper.Running.Version)
	}
}

// A return to a table that is damaged in the store fails, and the table is listed with its fault.
func TestDamagedStore(t *testing.T) {
	d := newTestDriver(t)
	for v := 1; v <= 2; v++ {
		if err := d.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
	}
	err := d.store.db.Update(func(tx *bbolt.Tx) error {
		f := append([]byte(nil), tx.Bucket(formsBucket).Get(encodeSerial(1))...)
		f[len(f)-2] ^= 1
		return tx.Bucket(formsBucket).Put(encodeSerial(1), f)
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.back(); !errors.Is(err, ErrDamaged) || d.keeper.Running.Version != 2 {
		t.Errorf("%v, runs %d", err, d.keeper.Running.Version)
	}
	list, err := d.store.List()
	if err != nil || len(list) != 2 || list[0].Fault != "" || list[1].Fault == "" || list[0].Serial != 2 {
		t.Errorf("%v: %v", err, list)
	}
	recovered := func(available numberplan.Names) (*numberplan.Table, tableversions.History, []error) {
		stored, err := d.store.History()
		if err != nil {
			t.Fatal(err)
		}
		return stored.Recover(d.store.Form, available)
	}
	// a start runs the latest table that can be used: here the third, then the second
	if err := d.put(formOf(t, 3, "TG-1")); err != nil {
		t.Fatal(err)
	}
	if running, history, problems := recovered(gatewayNames); running.Version != 3 || history.Running != 3 ||
		!slices.Equal(history.Previous, []uint64{1, 2}) ||
		problems != nil {
		t.Errorf("%v, %v, %v", running, history, problems)
	}
	if running, history, problems := recovered(numberplan.Names{Groups: []string{"TG-0"}}); running.Version != 2 ||
		history.Running != 2 || !slices.Equal(history.Previous, []uint64{1}) ||
		len(problems) != 1 {
		t.Errorf("%v, %v, %v", running, history, problems)
	}
	// a change after a start that skipped a table builds on the recovered one, also after the next start
	running, history, _ := recovered(numberplan.Names{Groups: []string{"TG-0"}})
	d.keeper = tableversions.New(d, running, history)
	if err := d.put(formOf(t, 4, "TG-0")); err != nil {
		t.Fatal(err)
	}
	if stored, _ := d.store.History(); stored.Running != 4 || !slices.Equal(stored.Previous, []uint64{1, 2}) {
		t.Errorf("history in the store: %v", stored)
	}
	if running, _, problems := recovered(numberplan.Names{}); running != nil || len(problems) != 3 {
		t.Errorf("%v, %v", running, problems)
	}
}

// Tables that were rolled back don't fill the store.
func TestStoreSizeBounded(t *testing.T) {
	d := newTestDriver(t)
	d.store.db.NoSync = true
	for v := 1; v <= 100; v++ {
		if err := d.put(formOf(t, v, "TG-0")); err != nil {
			t.Fatal(err)
		}
		if v%3 == 0 {
			if err := d.back(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if list, err := d.store.List(); err != nil || len(list) > 2*tableversions.MaxKept+1 ||
		len(list) < tableversions.MaxKept {
		t.Errorf("%d are kept, %v", len(list), err)
	}
}

// Compares the store with a plain list of the running table and those before it, which is bounded; the store is
// reopened between changes at random.
func TestStoreModel(t *testing.T) {
	dir := t.TempDir()
	runs := 0
	rapid.Check(t, func(rt *rapid.T) {
		runs++
		file := filepath.Join(dir, fmt.Sprint(runs))
		open := func(d *testDriver) {
			s, err := Open(file)
			if err != nil {
				rt.Fatal(err)
			}
			s.db.NoSync = true // faster; the test interrupts no write
			d.store = s
			history, err := s.History()
			if err != nil {
				rt.Fatal(err)
			}
			var table *numberplan.Table
			if history.Running != 0 {
				f, err := s.Form(history.Running)
				if err != nil {
					rt.Fatal(err)
				}
				table = tableversions.Check(f, gatewayNames).Table
			}
			d.keeper = tableversions.New(d, table, history)
		}
		d := &testDriver{t: t}
		open(d)
		defer func() { d.store.Close() }()
		var model []uint64 // versions, the running one last
		next := uint64(1)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				if err := d.store.Close(); err != nil {
					rt.Fatal(err)
				}
				open(d)
			case 1:
				err := d.back()
				if len(model) > 1 {
					model = model[:len(model)-1]
					if err != nil {
						rt.Fatal(err)
					}
				} else if !errors.Is(err, tableversions.ErrNoPrevious) {
					rt.Fatal(err)
				}
			default:
				if err := d.put(formOf(rt, int(next), "TG-0")); err != nil {
					rt.Fatal(err)
				}
				model = append(model, next)
				next++
				if len(model) > tableversions.MaxKept+1 {
					model = model[1:]
				}
			}
			var got []uint64
			history, _ := d.store.History()
			for _, n := range history.Previous {
				f, err := d.store.Form(n)
				if err != nil {
					rt.Fatal(err)
				}
				got = append(got, tableversions.Check(f, gatewayNames).Table.Version)
			}
			if d.keeper.Running != nil {
				got = append(got, d.keeper.Running.Version)
			}
			if !slices.Equal(got, model) {
				rt.Fatalf("runs and ran %v, want %v", got, model)
			}
		}
	})
}

// Opening a store that another process has open fails after a second with an error that says so.
func TestOpenLockedStore(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tables")
	s, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := Open(file); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Error(err)
	}
}
