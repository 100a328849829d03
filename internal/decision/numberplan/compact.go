package numberplan

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	_ "time/tzdata" // for machines without a time zone database

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
)

// Pack encodes a table in its compact form, in which it is stored and sent. Equal tables give equal octets.
func Pack(form *api.NumberTable) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("number table: %w", err)
	}
	return append([]byte(magicHeader), b...), nil
}

// MaxBytes is the largest compact form that is accepted over the wire.
const MaxBytes = 256 << 20

// magicHeader begins every compact form, so that other input is rejected before it is decoded.
const magicHeader = "cobalt-numbers 1\n"

// Unpack decodes the compact form. Damaged input is an error.
func Unpack(b []byte) (*api.NumberTable, error) {
	rest, ok := strings.CutPrefix(string(b), magicHeader)
	if !ok {
		return nil, errors.New(
			"number table: neither HCL nor the compact form: want a file that ends in .hcl, or output of number compile",
		)
	}
	form := &api.NumberTable{}
	if err := proto.Unmarshal([]byte(rest), form); err != nil {
		return nil, fmt.Errorf("number table: damaged: %w", err)
	}
	return form, nil
}

// Sum returns the checksum of a table's compact form, SHA-256 in hex.
func Sum(form *api.NumberTable) (string, error) {
	b, err := Pack(form)
	if err != nil {
		return "", err
	}
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:]), nil
}
