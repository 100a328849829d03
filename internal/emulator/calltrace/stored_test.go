package calltrace

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
)

// TestStoredTrace checks that a trace written by an earlier release (9f5ba27) can still be read.
func TestStoredTrace(t *testing.T) {
	file, err := os.Open("testdata/calls.trace")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	calls, err := All(file)
	if err != nil {
		t.Fatal(err)
	}
	want := []*api.Call{
		{Number: "+14180000001", Skill: "voice", Customer: "a", Group: "TG-0", HoldMs: 1000, PatienceMs: 500},
		{AtMs: 12.5, Number: "+14180000002", Skill: "voice", Customer: "b", Group: "TG-1", HoldMs: 2000, PatienceMs: 700},
	}
	if len(calls) != len(want) {
		t.Fatalf("%d calls, want %d", len(calls), len(want))
	}
	for i, call := range calls {
		if !proto.Equal(call, want[i]) {
			t.Errorf("call %d: %v, want %v", i, call, want[i])
		}
	}
}
