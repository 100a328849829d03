// Program standin has the stand-ins of this review: core switches, a name server, clients and the platform that starts
// a gateway. It follows the users' pages and uses no package of the project, so that it shares no fault with it.
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
	typeTest    = 52
	typeResult  = 53
	typeState   = 43

	parClass   = 1
	parTimeout = 4
	parNumber  = 13
	parFigures = 16
	parReport  = 28
	parCause   = 43
	parText    = 46 // the description
)

const (
	causeOK        = 16 // the call has come to its end, or a set-up is given up
	causeCut       = 41
	maxMessageSize = 16 << 10
)

type param struct {
	code  byte
	value []byte
}

func text(code byte, value string) param { return param{code, []byte(value)} }

func cause(value byte) param { return param{parCause, []byte{value}} }

// encode returns one whole message.
func encode(kind byte, call uint64, params ...param) []byte {
	message := make([]byte, 2, 64)
	message = append(message, kind)
	message = binary.BigEndian.AppendUint64(message, call)
	for _, p := range params {
		message = append(message, p.code)
		message = binary.BigEndian.AppendUint16(message, uint16(len(p.value)))
		message = append(message, p.value...)
	}
	binary.BigEndian.PutUint16(message, uint16(len(message)-2))
	return message
}

type message struct {
	kind   byte
	call   uint64
	params map[byte][]byte
}

// cause returns the cause, or 0 if there is none.
func (m *message) cause() byte {
	if value := m.params[parCause]; len(value) == 1 {
		return value[0]
	}
	return 0
}

var errUnreadable = errors.New("message can't be read")

// read reads one message.
func read(from io.Reader) (*message, error) {
	var length [2]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint16(length[:]))
	if size < 9 || size > maxMessageSize {
		return nil, errUnreadable
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(from, body); err != nil {
		return nil, err
	}
	m := &message{kind: body[0], call: binary.BigEndian.Uint64(body[1:9]), params: map[byte][]byte{}}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 {
			return nil, errUnreadable
		}
		end := 3 + int(binary.BigEndian.Uint16(rest[1:3]))
		if end > len(rest) {
			return nil, errUnreadable
		}
		m.params[rest[0]] = rest[3:end]
		rest = rest[end:]
	}
	return m, nil
}
