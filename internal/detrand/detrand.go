// Package detrand provides reproducible pseudorandom numbers: hashes of values such as a seed and a counter. They are
// not suitable for cryptography.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// mixer is the multiplier of MurmurHash3's finalizer. FNV leaves the last byte of a counter in the low bits;
// multiplying spreads it.
const mixer = 0xff51afd7ed558ccd

// Hash returns a 64-bit hash of the values; their order matters.
func Hash(values ...uint64) uint64 {
	h := fnv.New64a()
	var encoded [8]byte
	for _, value := range values {
		binary.LittleEndian.PutUint64(encoded[:], value)
		_, _ = h.Write(encoded[:]) // never fails
	}
	v := h.Sum64()
	v = (v ^ v>>33) * mixer
	return v ^ v>>33
}

// Float64 returns a pseudorandom number in [0, 1) for the values.
func Float64(values ...uint64) float64 { return float64(Hash(values...)>>11) / (1 << 53) }
