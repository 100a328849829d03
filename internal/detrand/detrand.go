// Package detrand gives deterministic random numbers: hashes of a seed and a counter, so that every draw can be made
// again. They are not for secrets.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// mixer is the multiplier of MurmurHash3's finalizer. FNV leaves the last byte of a counter in the low bits;
// multiplying spreads it.
const mixer = 0xff51afd7ed558ccd

// Hash is the draw as 64 bits: the hash of the values in their order.
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

// Float64 is the draw as a number from 0 to below 1.
func Float64(values ...uint64) float64 { return float64(Hash(values...)>>11) / (1 << 53) }
