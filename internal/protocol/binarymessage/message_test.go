package binarymessage

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawMessage(t *rapid.T) []byte {
	var params []Param
	for _, code := range rapid.SliceOfNDistinct(rapid.Byte(), 0, 8, rapid.ID[byte]).Draw(t, "codes") {
		params = append(params, Param{code, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "value")})
	}
	return Append(nil, rapid.Byte().Draw(t, "type"), rapid.Uint64().Draw(t, "call"), params...)
}

// TestAnySplit: however the stream is split, the reader returns the same messages and buffers nothing after the last.
func TestAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want, got [][]byte
		var all []byte
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			m := drawMessage(t)
			want, all = append(want, m), append(all, m...)
		}
		var r Reader
		for len(all) > 0 {
			n := rapid.IntRange(1, len(all)).Draw(t, "piece")
			piece := slices.Clone(all[:n])
			if err := r.Feed(piece, func(m Message) bool {
				got = append(got, slices.Clone(m))
				return true
			}); err != nil {
				t.Fatal(err)
			}
			for i := range piece {
				piece[i] = 0xee // the reader must not keep the caller's slice
			}
			all = all[n:]
		}
		if !slices.EqualFunc(got, want, bytes.Equal) || r.Partial() {
			t.Errorf("got %x, want %x; partial %v", got, want, r.Partial())
		}
	})
}

func TestMessageFields(t *testing.T) {
	m, err := Parse(
		Append(nil, Release, 0x7f3a9c21e0b4d655, CauseParam(Congested), TextParam(RetryAfter, "300"), TextParam(Note, "")),
	)
	if err != nil || m.Type() != Release || m.CallID() != 0x7f3a9c21e0b4d655 || m.Cause() != 42 ||
		m.Text(RetryAfter) != "300" {
		t.Errorf("%x: %v", []byte(m), err)
	}
	if _, found := m.Get(Note); !found {
		t.Error("an empty parameter was not found")
	}
	if _, found := m.Get(Class); found {
		t.Error("a missing parameter was found")
	}
	if got := Append(
		nil,
		HealthCheck,
		1,
		CauseParam(0),
	); !bytes.Equal(got, []byte{0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 1, 43, 0, 1, 0}) {
		t.Errorf("health check encoded as % d", got)
	}
}

func TestMalformedMessages(t *testing.T) {
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"length 0", []byte{0, 0}, ErrTooShort},
		{"too short for a call ID", []byte{0, 8, 1, 0, 0, 0, 0, 0, 0, 0}, ErrTooShort},
		{"one byte over 16 KiB", []byte{0x40, 0x01}, ErrTooLong},
		{"largest length field", []byte{0xff, 0xff}, ErrTooLong},
		{"a parameter without length", append(Append(nil, 1, 1)[:1:1], 10, 1, 0, 0, 0, 0, 0, 0, 0, 1, 5), ErrMalformedParams},
		{"a parameter beyond the end", append([]byte{0, 13}, 1, 0, 0, 0, 0, 0, 0, 0, 1, 5, 0, 9, 0), ErrMalformedParams},
		{"duplicate parameter", Append(nil, 1, 1, TextParam(Class, "a"), TextParam(Class, "b")), ErrDuplicateParam},
	} {
		var r Reader
		err := r.Feed(c.data, func(Message) bool { t.Errorf("%s: got a message", c.name); return true })
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		r = Reader{}
		for i := range c.data { // the same data byte by byte
			if err = r.Feed(c.data[i:i+1], func(Message) bool { return true }); err != nil {
				break
			}
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s byte by byte: %v, want %v", c.name, err, c.want)
		}
	}
}

// TestLongestMessage: a message of MaxLength bytes after its length field is accepted.
func TestLongestMessage(t *testing.T) {
	b := Append(nil, Setup, 1, Param{Description, make([]byte, MaxLength-9-3)})
	n := 0
	var r Reader
	if err := r.Feed(b, func(Message) bool { n++; return true }); err != nil || n != 1 {
		t.Errorf("%d messages, %v", n, err)
	}
}

// TestReaderStops: when handle returns false, the reader passes on no further message.
func TestReaderStops(t *testing.T) {
	b := append(Append(nil, HealthCheck, 1), Append(nil, HealthCheck, 2)...)
	n := 0
	var r Reader
	if err := r.Feed(b, func(Message) bool { n++; return false }); err != nil || n != 1 {
		t.Errorf("%d messages, %v", n, err)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(Append(nil, Setup, 7, TextParam(Class, "voice"), TextParam(Description, "v=0")), byte(3))
	f.Add([]byte{0, 13, 1, 0, 0, 0, 0, 0, 0, 0, 1, 5, 0, 9, 0}, byte(1))
	f.Fuzz(func(t *testing.T, b []byte, cut byte) {
		whole, pieces := feedInPieces(b, len(b)), feedInPieces(b, int(cut)%17+1)
		if !slices.EqualFunc(whole, pieces, bytes.Equal) {
			t.Errorf("whole %x, in pieces %x", whole, pieces)
		}
		for _, m := range whole {
			if _, err := Parse(m); err != nil {
				t.Errorf("%x: %v", m, err)
			}
			for code := range 256 {
				Message(m).Get(byte(code))
			}
		}
	})
}

func feedInPieces(b []byte, piece int) (got [][]byte) {
	var r Reader
	for len(b) > 0 {
		n := min(piece, len(b))
		if r.Feed(b[:n], func(m Message) bool {
			got = append(got, slices.Clone(m))
			return true
		}) != nil {
			return
		}
		b = b[n:]
	}
	return
}
