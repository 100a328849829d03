package conformance

import (
	"compress/gzip"
	"os"
	"testing"

	"cobaltpier/api"
	"cobaltpier/internal/conformance/capture"
)

// TestStoredCapture checks that a capture written by an earlier release (9f5ba27: scenario plain in virtual time,
// seed 3, 2 s at 20 calls a second) is still read, and gives the totals of that release.
func TestStoredCapture(t *testing.T) {
	file, err := os.Open("testdata/quiet.capture.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	content, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	checker := New()
	if err := capture.Read(content, func(r *api.Record) error { checker.Add(r); return nil }); err != nil {
		t.Fatal(err)
	}
	checker.Finish()
	if checker.Totals.Calls != 23 || checker.Totals.Attempts != 23 || len(checker.Findings) != 0 {
		t.Errorf("totals %+v, findings %v; want 23 calls, 23 attempts, none", checker.Totals, checker.Findings)
	}
}
