// Package detrand draws numbers from a seed and a counter by hash/fnv, so that every draw can be made again.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// Hash is the draw as 64 bits: the hash of the numbers in their order.
func Hash(values ...uint64) uint64 {
	h := fnv.New64a()
	var x [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(x[:], v)
		h.Write(x[:])
	}
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd // fnv leaves a counter's last byte in the low bits: spread it
	return v ^ v>>33
}

// Float64 is the draw as a number from 0 to 1.
func Float64(values ...uint64) float64 { return float64(Hash(values...)>>11) / (1 << 53) }
