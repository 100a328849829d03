package tablestore

import (
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"cobaltpier/internal/decision/numberplan"
)

// A store written by an earlier release (9f5ba27: a gateway of day kiosks, seed 3) can still be opened, and its
// running table still compiles.
func TestStoredStore(t *testing.T) {
	packed, err := os.Open("testdata/store.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = packed.Close() }()
	content, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(content)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "store")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	kept, err := store.List()
	if err != nil || len(kept) != 3 {
		t.Fatalf("%d tables kept (%v), want 3", len(kept), err)
	}
	for _, table := range kept {
		if table.Fault != "" {
			t.Errorf("table %d: %s", table.Serial, table.Fault)
		}
	}
	history, err := store.History()
	if err != nil {
		t.Fatal(err)
	}
	form, err := store.Form(history.Running)
	if err != nil {
		t.Fatal(err)
	}
	const wantSum = "319a1316221b1934de3b743f823dc1a915e7a2cb47eb832e8ad80f924bdf50ac"
	if newest := kept[0]; history.Running != 3 || newest.Version != 3 || newest.Sum != wantSum {
		t.Errorf("table %d runs, newest is %v; want table 3 of sum %s", history.Running, newest, wantSum)
	}
	table, err := numberplan.Unpack(form)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := numberplan.Compile(table); err != nil {
		t.Errorf("running table: %v", err)
	}
}
