package loadshed

const (
	// memoryShare is the part of the process's memory that large setups may take. The rest is for copies on their way
	// through the process, connections, calls and the program itself.
	memoryShare = 0.125
	// smallSetup is the size in bytes up to which a setup is not counted: small ones are limited by their number, and a
	// flood of large ones does not shut them out.
	smallSetup = 1024
)

// SetupMemory limits the memory that setups take while their calls have no final answer. The zero value has no limit.
type SetupMemory struct {
	limit int // bytes of large setups; 0: none
	used  int
}

// NewSetupMemory returns a limit for a process that may use so many bytes of memory; 0: no limit.
func NewSetupMemory(processBytes float64) SetupMemory {
	return SetupMemory{limit: int(processBytes * memoryShare)}
}

// Reserve takes the memory of a setup of a size in bytes. It returns false, and takes nothing, if there is not enough.
func (m *SetupMemory) Reserve(size int) bool {
	if size <= smallSetup || m.limit == 0 {
		return true
	}
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	return true
}

// Free returns what Reserve has taken for a setup of a size in bytes.
func (m *SetupMemory) Free(size int) {
	if size > smallSetup && m.limit > 0 {
		m.used -= size
	}
}
