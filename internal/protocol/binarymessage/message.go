// Package binarymessage encodes and decodes the platform's binary messages, which are sent over streams, for
// several calls on one connection. A stream may be split between any two bytes. The package has no I/O.
//
//	message   = length:2 type:1 call:8 parameters    length counts the bytes after it; big-endian
//	parameter = code:1 length:2 value
package binarymessage

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Message types.
const (
	Setup           = 1
	Progress        = 6
	Answer          = 9
	Release         = 12
	ReleaseComplete = 16
	LoadState       = 43
	HealthCheck     = 52
	HealthResult    = 53
)

// Parameter codes.
const (
	Class         = 1
	Timeout       = 4 // ms
	Number        = 13
	RoutingParams = 16 // routing parameters of a setup, as fields `name:value`
	RetryAfter    = 19 // ms for which a rejected caller should not retry
	Note          = 22
	QueueDelay    = 25 // ms of queueing delay at an overloaded processor
	LoadReport    = 28 // load report
	Cause         = 43
	Description   = 46
)

// Release causes. They follow Q.850 where the platform does.
const (
	Normal    = 16
	UserBusy  = 17
	NoCircuit = 34
	Failure   = 41
	Congested = 42
	Fault     = 47
	Invalid   = 100
	NeverSent = 102
)

// Results of a health check, sent as its cause.
var (
	HealthFailed = CauseParam(0)
	HealthPassed = CauseParam(1)
)

// MaxLength is the maximum length of a message in bytes, without its length field.
const MaxLength = 16 << 10

const (
	lengthSize      = 2
	headerSize      = lengthSize + 1 + 8 // length, type, call
	paramHeaderSize = 1 + 2              // code, length
)

// Message is a complete message, including its length field, that Parse has accepted.
type Message []byte

// Type returns the type of the message.
func (m Message) Type() byte { return m[2] }

// CallID returns the ID of the call.
func (m Message) CallID() uint64 { return binary.BigEndian.Uint64(m[3:]) }

// CallIDBytes returns the encoded ID of the call.
func (m Message) CallIDBytes() []byte { return m[3:headerSize] }

// Get returns the value of a parameter; false: the message has no parameter with that code.
func (m Message) Get(code byte) ([]byte, bool) {
	for p := m[headerSize:]; len(p) > 0; {
		n := paramHeaderSize + int(binary.BigEndian.Uint16(p[1:]))
		if p[0] == code {
			return p[paramHeaderSize:n], true
		}
		p = p[n:]
	}
	return nil, false
}

// Text returns the value of a parameter as text; "": the message has no parameter with that code.
func (m Message) Text(code byte) string {
	v, _ := m.Get(code)
	return string(v)
}

// Cause returns the cause; 0: none.
func (m Message) Cause() byte {
	if v, ok := m.Get(Cause); ok && len(v) == 1 {
		return v[0]
	}
	return 0
}

// Errors of malformed messages.
var (
	ErrTooLong         = errors.New("message longer than 16 KiB")
	ErrTooShort        = errors.New("message too short for a type and a call ID")
	ErrMalformedParams = errors.New("parameters do not match the message length")
	ErrDuplicateParam  = errors.New("parameter given twice")
)

// Parse checks that b is one complete, well-formed message.
func Parse(b []byte) (Message, error) {
	if len(b) < headerSize {
		return nil, ErrTooShort
	}
	if n := int(binary.BigEndian.Uint16(b)); n != len(b)-lengthSize {
		return nil, fmt.Errorf("length field %d, but %d bytes follow: %w", n, len(b)-lengthSize, ErrMalformedParams)
	} else if n > MaxLength {
		return nil, ErrTooLong
	}
	var seen [256]bool
	for p := b[headerSize:]; len(p) > 0; {
		if len(p) < paramHeaderSize {
			return nil, ErrMalformedParams
		}
		n := paramHeaderSize + int(binary.BigEndian.Uint16(p[1:]))
		if n > len(p) {
			return nil, ErrMalformedParams
		}
		if seen[p[0]] {
			return nil, fmt.Errorf("parameter %d: %w", p[0], ErrDuplicateParam)
		}
		seen[p[0]] = true
		p = p[n:]
	}
	return Message(b), nil
}

// Param is a parameter to encode.
type Param struct {
	Code  byte
	Value []byte
}

// TextParam returns a parameter with a text value.
func TextParam(code byte, v string) Param { return Param{code, []byte(v)} }

// CauseParam returns the parameter of a cause.
func CauseParam(cause byte) Param { return Param{Cause, []byte{cause}} }

// Append appends an encoded message to dst. It panics if the message is longer than MaxLength; callers must prevent
// this.
func Append(dst []byte, messageType byte, callID uint64, params ...Param) []byte {
	n := headerSize - lengthSize
	for _, p := range params {
		n += paramHeaderSize + len(p.Value)
	}
	if n > MaxLength {
		panic(ErrTooLong)
	}
	dst = binary.BigEndian.AppendUint16(dst, uint16(n))
	dst = append(dst, messageType)
	dst = binary.BigEndian.AppendUint64(dst, callID)
	for _, p := range params {
		dst = append(dst, p.Code)
		dst = binary.BigEndian.AppendUint16(dst, uint16(len(p.Value)))
		dst = append(dst, p.Value...)
	}
	return dst
}

// Reader splits a stream into messages. It buffers at most one incomplete message.
type Reader struct{ partial []byte }

// Feed reads the next bytes and passes each complete message to handle, which must not keep it and returns false to
// stop. An error is final, since the message boundaries are lost.
func (r *Reader) Feed(data []byte, handle func(Message) bool) error {
	for {
		message, rest, err := r.next(data)
		if err != nil || message == nil {
			return err
		}
		data = rest
		parsed, err := Parse(message)
		if err != nil {
			return err
		}
		if !handle(parsed) {
			return nil
		}
	}
}

// next splits one message off the data. If the message is incomplete, next buffers it and returns nil.
func (r *Reader) next(data []byte) (message, rest []byte, err error) {
	if len(r.partial) > 0 {
		return r.complete(data)
	}
	size, known, err := messageSize(data)
	if err != nil {
		return nil, nil, err
	}
	if !known || len(data) < size {
		if len(data) > 0 {
			r.partial = append([]byte(nil), data...)
		}
		return nil, nil, nil
	}
	return data[:size:size], data[size:], nil
}

// complete continues the buffered message, first to the end of its length field, then to the end of the message.
func (r *Reader) complete(data []byte) (message, rest []byte, err error) {
	for {
		size, known, err := messageSize(r.partial)
		if err != nil {
			return nil, nil, err
		}
		if !known {
			size = lengthSize
		}
		missing := min(size-len(r.partial), len(data))
		r.partial, data = append(r.partial, data[:missing]...), data[missing:]
		if len(r.partial) < size {
			return nil, nil, nil
		}
		if known {
			message, r.partial = r.partial, nil
			return message, data, nil
		}
	}
}

// Partial reports whether an incomplete message is buffered.
func (r *Reader) Partial() bool { return len(r.partial) > 0 }

// messageSize returns the size of the first message in data, including its length field; known is false if the length
// field is incomplete.
func messageSize(data []byte) (size int, known bool, err error) {
	if len(data) < lengthSize {
		return 0, false, nil
	}
	switch length := int(binary.BigEndian.Uint16(data)); {
	case length > MaxLength:
		return 0, false, ErrTooLong
	case length < headerSize-lengthSize:
		return 0, false, ErrTooShort
	default:
		return lengthSize + length, true, nil
	}
}
