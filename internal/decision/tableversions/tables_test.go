package tableversions

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/decision/numberplan"
)

// Compares the history with a plain list of the tables that ran: a new table is appended, going back removes the
// last, the number of stored tables is bounded, and the tables of the history always stay in the store. The tests of
// package tablestore cover the keeper's changes, with files.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history History
		var model []uint64
		latest := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(model) > 1 && rapid.IntRange(0, 3).Draw(t, "back") == 0 {
				model = model[:len(model)-1]
				history = history.Activate(history.Previous[len(history.Previous)-1])
			} else {
				latest++
				model = append(model, latest)
				model = model[max(0, len(model)-MaxKept-1):]
				history = history.Activate(latest)
			}
			if got := append(slices.Clone(history.Previous), history.Running); !slices.Equal(got, model) {
				t.Fatalf("%v, want %v", got, model)
			}
			kept := 0
			for n := uint64(1); n <= latest; n++ {
				if history.Retains(n, latest) {
					kept++
				} else if slices.Contains(model, n) {
					t.Fatalf("%d of %v is not kept", n, model)
				}
			}
			if kept > 2*MaxKept+1 {
				t.Fatalf("%d tables are kept", kept)
			}
		}
	})
	if running, recovered, problems := (History{3, []uint64{1, 2}}).Recover(
		func(uint64) ([]byte, error) { return nil, errors.New("gone") },
		numberplan.Names{},
	); running != nil ||
		recovered.Running != 0 ||
		len(problems) != 3 {
		t.Errorf("no table can be read: %v, %v, %v", running, recovered, problems)
	}
}
