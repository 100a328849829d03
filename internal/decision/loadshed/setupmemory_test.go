package loadshed

import "testing"

// TestSetupMemory checks that large setups take no more than their share, that small ones are not shut out by them, and
// that memory that was freed can be taken again.
func TestSetupMemory(t *testing.T) {
	const processBytes, large = 32 << 20, 16 << 10
	memory := NewSetupMemory(processBytes)
	taken := 0
	for memory.Reserve(large) {
		taken += large
	}
	if taken == 0 || taken > processBytes*memoryShare {
		t.Errorf("large setups took %d bytes, want up to %v", taken, processBytes*memoryShare)
	}
	if !memory.Reserve(smallSetup) {
		t.Error("a small setup was refused, want it admitted")
	}
	memory.Free(smallSetup)
	memory.Free(large)
	if !memory.Reserve(large) || memory.Reserve(large) {
		t.Error("after one large setup was freed, want exactly one further one admitted")
	}
	unlimited := NewSetupMemory(0)
	for range 10000 {
		if !unlimited.Reserve(large) {
			t.Fatal("a setup was refused without a limit")
		}
	}
}
