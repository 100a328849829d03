package calltrace

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cobaltpier/api"
)

func makeCalls(n int) []*api.Call {
	var calls []*api.Call
	for i := range n {
		calls = append(
			calls,
			&api.Call{
				AtMs:       float64(i) * 1.5,
				Number:     "+14185550" + strings.Repeat("7", i%4),
				Skill:      "shift-lookup",
				HoldMs:     1000,
				PatienceMs: 9000,
			},
		)
	}
	return calls
}

func encodeTrace(t *testing.T, calls []*api.Call) []byte {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, c := range calls {
		if err := w.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestRoundTrip checks that written calls are read back over several blocks, and that calls out of order are rejected.
func TestRoundTrip(t *testing.T) {
	want := makeCalls(2*callsPerBlock + 7)
	got, err := All(bytes.NewReader(encodeTrace(t, want)))
	if err != nil || Fingerprint(got) != Fingerprint(want) {
		t.Errorf("%d calls, %v", len(got), err)
	}
	w := NewWriter(&bytes.Buffer{})
	_ = w.Add(&api.Call{AtMs: 5})
	if w.Add(&api.Call{AtMs: 4}) == nil || w.Add(&api.Call{AtMs: math.NaN()}) == nil {
		t.Error("calls out of order accepted")
	}
	if calls, err := All(bytes.NewReader(encodeTrace(t, nil))); err != nil || len(calls) != 0 {
		t.Errorf("empty trace: %d calls, %v", len(calls), err)
	}
}

// TestDamage truncates a file or changes a byte at a random place. Only the whole blocks before it may be read, and the
// error must wrap ErrDamaged; no call may be read wrong.
func TestDamage(t *testing.T) {
	want := makeCalls(2*callsPerBlock + 7)
	whole := encodeTrace(t, want)
	rapid.Check(t, func(t *rapid.T) {
		b := bytes.Clone(whole)
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			b = b[:at]
		} else {
			b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		got, err := All(bytes.NewReader(b))
		if err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("error %v", err)
		}
		if err == nil && len(got)%callsPerBlock != 0 { // truncated between two blocks, which is a valid file
			t.Fatalf("no error, %d calls", len(got))
		}
		for i, c := range got {
			if !proto.Equal(c, want[i]) {
				t.Fatalf("call %d changed", i)
			}
		}
	})
}

func TestImport(t *testing.T) {
	calls, err := FromCSV(strings.NewReader("at_ms,number,skill\n20,+1418,a\n10,+1514,b\n"))
	if err != nil || len(calls) != 2 || calls[0].Number != "+1514" || calls[1].AtMs != 20 {
		t.Errorf("%v, %v", calls, err)
	}
	calls, err = FromJSON(
		strings.NewReader("{\"at_ms\": 1.5, \"number\": \"+1\", \"gateway\": 3}\n\n{\"at_ms\": 0, \"number\": \"+2\"}\n"),
	)
	if err != nil || len(calls) != 2 || calls[1].Gateway != 3 {
		t.Errorf("%v, %v", calls, err)
	}
	for in, want := range map[string]string{
		"":                               "no line of column names",
		"at_ms,colour\n":                 `line 1: column "colour" is not known; known: answer, at_ms,`,
		"at_ms\n":                        "want at least at_ms and number",
		"at_ms,number\n1,a\nsoon,b\n":    `line 3: at_ms: want a number from 0 up, got "soon"`,
		"at_ms,number,gateway\n1,a,-2\n": `line 2: gateway: want a whole number, got "-2"`,
		"at_ms,number\n1,a\n2\n":         "line 3",
		"at_ms,number\n1,a\nInf,b\n":     "want a number from 0 up",
	} {
		if _, err := FromCSV(strings.NewReader(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", in, err, want)
		}
	}
	if _, err := FromJSON(strings.NewReader("{\"at_ms\": 1}\n{\"at\": 1}\n")); err == nil ||
		!strings.Contains(err.Error(), `line 2: "at" is not known`) {
		t.Errorf("json: %v", err)
	}
}

func TestTransforms(t *testing.T) {
	calls := makeCalls(1000)
	if c := Slice(calls, 150, 300); len(c) != 100 || c[0].AtMs != 0 || calls[100].AtMs != 150 {
		t.Errorf("slice: %d calls from %v", len(c), c[0].AtMs)
	}
	if s := Speed(calls, 2, false); s[10].AtMs != 7.5 || s[10].HoldMs != 1000 {
		t.Errorf("speed: %v", s[10])
	}
	if s := Speed(calls, 2, true); s[10].HoldMs != 500 || s[10].PatienceMs != 4500 {
		t.Errorf("speed of all: %v", s[10])
	}
	for _, f := range []float64{0.3, 1, 2.5} {
		s := Scale(calls, f, 100, 1)
		if n := float64(len(s)) / 1000; math.Abs(n-f) > 0.06 {
			t.Errorf("scale by %v made %v", f, n)
		}
		if Fingerprint(s) != Fingerprint(Scale(calls, f, 100, 1)) {
			t.Error("scaling twice with one seed gives different calls")
		}
	}
	a := Anonymise(calls, "k", 5)
	if a[0].Number[:5] != "+1418" || a[3].Number == calls[3].Number || a[3].Number != a[7].Number ||
		len(a[3].Number) != len(calls[3].Number) {
		t.Errorf("anonymise: %q of %q", a[3].Number, calls[3].Number)
	}
	if Anonymise(calls, "other", 5)[3].Number == a[3].Number {
		t.Error("two keys give the same number")
	}
	if m := Merge(Slice(calls, 0, 100), Slice(calls, 0, 50)); len(m) != 101 || m[1].AtMs != 0 {
		t.Errorf("merge: %d", len(m))
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	w := NewWriter(&b)
	_ = w.Add(&api.Call{AtMs: 1})
	w.Flush()
	f.Add(b.Bytes())
	f.Add([]byte(magic))
	f.Add([]byte(magic + "\xff\xff\xff\xff0000"))
	f.Fuzz(func(t *testing.T, data []byte) { _, _ = All(bytes.NewReader(data)) })
}
