package numberplan

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	_ "time/tzdata" // zones also where the machine has none

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
)

// Pack is the compact form as it is kept and sent; the same table gives the same octets.
func Pack(form *api.NumberTable) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("number table: %w", err)
	}
	return append([]byte(magicHeader), b...), nil
}

// MaxBytes is the largest compact form that is taken over the wire.
const MaxBytes = 256 << 20

// magicHeader begins a table's compact form: what is none is refused before it is read.
const magicHeader = "cobalt-numbers 1\n"

// Unpack reads the compact form. Damage is an error.
func Unpack(b []byte) (*api.NumberTable, error) {
	rest, ok := strings.CutPrefix(string(b), magicHeader)
	if !ok {
		return nil, errors.New(
			"number table: neither HCL nor the compact form: want a file that ends in .hcl, or one that number compile made",
		)
	}
	form := &api.NumberTable{}
	if err := proto.Unmarshal([]byte(rest), form); err != nil {
		return nil, fmt.Errorf("number table: damaged: %w", err)
	}
	return form, nil
}

// Sum is the checksum of a table's compact form.
func Sum(form *api.NumberTable) (string, error) {
	b, err := Pack(form)
	if err != nil {
		return "", err
	}
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:]), nil
}
