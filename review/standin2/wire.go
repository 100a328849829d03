package main

import (
	"encoding/binary"
	"errors"
	"io"
)

// Message types and parameter codes of the platform's protocol.
const (
	typeSetup   = 1
	typeAnswer  = 9
	typeRelease = 12
	typeState   = 43
	typeTest    = 52
	typeTested  = 53

	paramClass       = 1
	paramTimeout     = 4
	paramNumber      = 13
	paramFigures     = 16
	paramReport      = 28
	paramCause       = 43
	paramDescription = 46
)

type message struct {
	kind   byte
	call   uint64
	params map[byte][]byte
}

func (m *message) cause() int {
	if v := m.params[paramCause]; len(v) == 1 {
		return int(v[0])
	}
	return 0
}

type param struct {
	code  byte
	value []byte
}

func text(code byte, value string) param { return param{code, []byte(value)} }
func cause(value byte) param             { return param{paramCause, []byte{value}} }

// encode returns length:2 type:1 call:8 parameters.
func encode(kind byte, call uint64, params ...param) []byte {
	body := []byte{kind}
	body = binary.BigEndian.AppendUint64(body, call)
	for _, p := range params {
		body = append(body, p.code)
		body = binary.BigEndian.AppendUint16(body, uint16(len(p.value)))
		body = append(body, p.value...)
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...)
}

// readMessage reads one message from a stream.
func readMessage(r io.Reader) (*message, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if len(body) < 9 {
		return nil, errors.New("short message")
	}
	m := &message{kind: body[0], call: binary.BigEndian.Uint64(body[1:]), params: map[byte][]byte{}}
	for p := body[9:]; len(p) > 0; {
		if len(p) < 3 || len(p) < 3+int(binary.BigEndian.Uint16(p[1:])) {
			return nil, errors.New("bad parameters")
		}
		n := 3 + int(binary.BigEndian.Uint16(p[1:]))
		m.params[p[0]] = p[3:n]
		p = p[n:]
	}
	return m, nil
}
