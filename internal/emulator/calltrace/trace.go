// Package calltrace reads, writes and transforms call traces. The format is described in api/trace.proto.
package calltrace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/detrand"
)

const (
	magic         = "cobtrc1\n"
	callsPerBlock = 4096
	maxBlockBytes = 1 << 26 // a block with a greater length field is taken as damaged
)

// Writer writes a trace. Calls must be added in the order of their times.
type Writer struct {
	w             io.Writer
	block         api.Block
	last          float64
	headerWritten bool
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w} }

// Add appends a call.
func (w *Writer) Add(c *api.Call) error {
	if c.AtMs < w.last || math.IsNaN(c.AtMs) || c.AtMs < 0 {
		return fmt.Errorf("trace: call at %v ms follows one at %v ms", c.AtMs, w.last)
	}
	w.last = c.AtMs
	w.block.Calls = append(w.block.Calls, c)
	if len(w.block.Calls) >= callsPerBlock {
		return w.Flush()
	}
	return nil
}

// Flush writes the buffered calls as one block, after the file header if that is not written yet.
func (w *Writer) Flush() error {
	var out bytes.Buffer
	if !w.headerWritten {
		out.WriteString(magic)
		w.headerWritten = true
	}
	if len(w.block.Calls) > 0 {
		raw, err := proto.Marshal(&w.block)
		if err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		var compressed bytes.Buffer
		gzipWriter := gzip.NewWriter(&compressed)
		_, _ = gzipWriter.Write(raw)
		if err := gzipWriter.Close(); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		var header [8]byte
		binary.LittleEndian.PutUint32(header[:], uint32(compressed.Len()))
		binary.LittleEndian.PutUint32(header[4:], crc32.ChecksumIEEE(compressed.Bytes()))
		out.Write(header[:])
		out.Write(compressed.Bytes())
		w.block.Calls = nil
	}
	if _, err := w.w.Write(out.Bytes()); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// ErrDamaged reports that a trace is truncated or damaged; the blocks before that place were read.
var ErrDamaged = errors.New("damaged")

// Read calls do with each call in order. If the file is damaged, it returns an error that wraps ErrDamaged and names
// the block and the byte offset; the calls of all blocks before that have been passed to do.
func Read(r io.Reader, do func(*api.Call) error) error {
	rd := bufio.NewReaderSize(r, 1<<16)
	header := make([]byte, len(magic))
	if _, err := io.ReadFull(rd, header); err != nil || string(header) != magic {
		return fmt.Errorf("trace: file header is not %q: %w", magic, ErrDamaged)
	}
	offset := int64(len(magic))
	last := 0.0
	for blockNumber := 1; ; blockNumber++ {
		damaged := func(why string, err error) error {
			if err != nil {
				why += ": " + err.Error()
			}
			return fmt.Errorf("trace: block %d at byte %d: %s: %w", blockNumber, offset, why, ErrDamaged)
		}
		var blockHeader [8]byte
		if count, err := io.ReadFull(rd, blockHeader[:]); err == io.EOF && count == 0 {
			return nil
		} else if err != nil {
			return damaged("block header is truncated", nil)
		}
		size := binary.LittleEndian.Uint32(blockHeader[:])
		if size > maxBlockBytes {
			return damaged(fmt.Sprintf("length of %d bytes is above the limit", size), nil)
		}
		var compressed bytes.Buffer
		if count, err := io.CopyN(&compressed, rd, int64(size)); err != nil {
			return damaged(fmt.Sprintf("truncated after %d of %d bytes", count, size), nil)
		}
		if crc32.ChecksumIEEE(compressed.Bytes()) != binary.LittleEndian.Uint32(blockHeader[4:]) {
			return damaged("wrong checksum", nil)
		}
		gzipReader, err := gzip.NewReader(&compressed)
		if err != nil {
			return damaged("gzip", err)
		}
		raw, err := io.ReadAll(io.LimitReader(gzipReader, 8*maxBlockBytes))
		if err != nil {
			return damaged("gzip", err)
		}
		var block api.Block
		if err := proto.Unmarshal(raw, &block); err != nil {
			return damaged("protobuf", err)
		}
		for _, c := range block.Calls {
			if !(c.AtMs >= last) {
				return damaged(fmt.Sprintf("call at %v ms follows one at %v ms", c.AtMs, last), nil)
			}
			last = c.AtMs
			if err := do(c); err != nil {
				return err
			}
		}
		offset += 8 + int64(size)
	}
}

// All reads a whole trace. Along with an error it returns the calls read up to it.
func All(r io.Reader) ([]*api.Call, error) {
	var calls []*api.Call
	err := Read(r, func(c *api.Call) error { calls = append(calls, c); return nil })
	return calls, err
}

// columns maps the column names of CSV and JSON lines to the functions that set their values in a call.
var columns = map[string]func(*api.Call, string) error{
	"at_ms":       func(c *api.Call, s string) error { return setFloat(&c.AtMs, s) },
	"gateway":     func(c *api.Call, s string) error { return setUint32(&c.Gateway, s) },
	"number":      func(c *api.Call, s string) error { c.Number = s; return nil },
	"skill":       func(c *api.Call, s string) error { c.Skill = s; return nil },
	"customer":    func(c *api.Call, s string) error { c.Customer = s; return nil },
	"group":       func(c *api.Call, s string) error { c.Group = s; return nil },
	"hold_ms":     func(c *api.Call, s string) error { return setFloat(&c.HoldMs, s) },
	"patience_ms": func(c *api.Call, s string) error { return setFloat(&c.PatienceMs, s) },
	"answer":      func(c *api.Call, s string) error { return setUint32(&c.Answer, s) },
	"wait_ms":     func(c *api.Call, s string) error { return setFloat(&c.WaitMs, s) },
}

func setFloat(to *float64, s string) error {
	if s == "" {
		return nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return fmt.Errorf("want a number from 0 up, got %q", s)
	}
	*to = v
	return nil
}

func setUint32(to *uint32, s string) error {
	if s == "" {
		return nil
	}
	v, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return fmt.Errorf("want a whole number, got %q", s)
	}
	*to = uint32(v)
	return nil
}

func columnNames() string {
	var names []string
	for k := range columns {
		names = append(names, k)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// FromCSV reads calls from CSV with a header line; at_ms and number are required columns. Errors name the line.
func FromCSV(r io.Reader) ([]*api.Call, error) {
	rd := csv.NewReader(r)
	head, err := rd.Read()
	if err != nil {
		return nil, fmt.Errorf("csv: no line of column names: %w", err)
	}
	for _, h := range head {
		if columns[h] == nil {
			return nil, fmt.Errorf("csv: line 1: column %q is not known; known: %s", h, columnNames())
		}
	}
	if !slices.Contains(head, "at_ms") || !slices.Contains(head, "number") {
		return nil, fmt.Errorf("csv: line 1: want at least at_ms and number")
	}
	var calls []*api.Call
	for {
		row, err := rd.Read()
		if errors.Is(err, io.EOF) {
			return sortByTime(calls), nil
		}
		if err != nil {
			return sortByTime(calls), fmt.Errorf("csv: %w", err)
		}
		c := &api.Call{}
		for i, v := range row {
			if err := columns[head[i]](c, strings.TrimSpace(v)); err != nil {
				n, _ := rd.FieldPos(i)
				return sortByTime(calls), fmt.Errorf("csv: line %d: %s: %w", n, head[i], err)
			}
		}
		calls = append(calls, c)
	}
}

// FromJSON reads calls from JSON objects, one a line, whose keys are the CSV column names.
func FromJSON(r io.Reader) ([]*api.Call, error) {
	var calls []*api.Call
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for n := 1; sc.Scan(); n++ {
		if len(bytes.TrimSpace(sc.Bytes())) == 0 {
			continue
		}
		var m map[string]any
		if err := json.Unmarshal(sc.Bytes(), &m); err != nil {
			return sortByTime(calls), fmt.Errorf("json: line %d: %w", n, err)
		}
		c := &api.Call{}
		for k, v := range m {
			set := columns[k]
			if set == nil {
				return sortByTime(calls), fmt.Errorf("json: line %d: %q is not known; known: %s", n, k, columnNames())
			}
			text := fmt.Sprint(v)
			if f, ok := v.(float64); ok {
				text = strconv.FormatFloat(f, 'f', -1, 64)
			}
			if err := set(c, text); err != nil {
				return sortByTime(calls), fmt.Errorf("json: line %d: %s: %w", n, k, err)
			}
		}
		calls = append(calls, c)
	}
	if err := sc.Err(); err != nil {
		return sortByTime(calls), fmt.Errorf("json: %w", err)
	}
	return sortByTime(calls), nil
}

func sortByTime(calls []*api.Call) []*api.Call {
	slices.SortStableFunc(calls, func(a, b *api.Call) int {
		switch {
		case a.AtMs < b.AtMs:
			return -1
		case a.AtMs > b.AtMs:
			return 1
		}
		return 0
	})
	return calls
}

// Slice returns copies of the calls at or after from and before to, in ms, with their times relative to from.
func Slice(calls []*api.Call, from, to float64) []*api.Call {
	var out []*api.Call
	for _, c := range calls {
		if c.AtMs >= from && c.AtMs < to {
			c = proto.CloneOf(c)
			c.AtMs -= from
			out = append(out, c)
		}
	}
	return out
}

// Merge combines traces into one, ordered by time.
func Merge(traces ...[]*api.Call) []*api.Call { return sortByTime(slices.Concat(traces...)) }

// Speed divides the arrival times by factor. Holding times and timeouts depend on people and stay as they are, unless
// all is set: then they are divided too, which keeps the load per circuit.
func Speed(calls []*api.Call, factor float64, all bool) []*api.Call {
	out := make([]*api.Call, len(calls))
	for i, c := range calls {
		c = proto.CloneOf(c)
		c.AtMs /= factor
		if all {
			c.HoldMs /= factor
			c.PatienceMs /= factor
		}
		out[i] = c
	}
	return out
}

// Scale multiplies the number of calls by factor. Whether a call is kept, left out or copied depends on a hash of the
// seed and its index. Copies arrive up to jitter ms after their original, so that they do not all arrive at once.
func Scale(calls []*api.Call, factor, jitter float64, seed uint64) []*api.Call {
	var out []*api.Call
	for i, c := range calls {
		n := int(factor)
		if detrand.Float64(seed, uint64(i), 0) < factor-math.Floor(factor) {
			n++
		}
		for k := range n {
			d := proto.CloneOf(c)
			if k > 0 {
				d.AtMs += jitter * detrand.Float64(seed, uint64(i), uint64(k))
			}
			out = append(out, d)
		}
	}
	return sortByTime(out)
}

// Anonymise replaces the digits of called numbers after the first keep, which routing needs, by digits from an HMAC of
// the number under key. The numbers cannot be recovered without the key. Equal numbers stay equal, since redials are
// recognized by them, so a number can be followed through the trace.
func Anonymise(calls []*api.Call, key string, keep int) []*api.Call {
	out := make([]*api.Call, len(calls))
	for i, c := range calls {
		c = proto.CloneOf(c)
		c.Number = maskNumber(c.Number, key, keep)
		out[i] = c
	}
	return out
}

func maskNumber(number, key string, keep int) string {
	if len(number) <= keep {
		return number
	}
	mac := hmacSum(key, number)
	b := []byte(number)
	for i := keep; i < len(b); i++ {
		if b[i] >= '0' && b[i] <= '9' {
			b[i] = '0' + mac[i%len(mac)]%10
		}
	}
	return string(b)
}

// Summary describes the contents of a trace in one line.
func Summary(calls []*api.Call) string {
	if len(calls) == 0 {
		return "no calls"
	}
	skills, gateways := map[string]int{}, map[uint32]int{}
	for _, c := range calls {
		skills[c.Skill]++
		gateways[c.Gateway]++
	}
	span := calls[len(calls)-1].AtMs - calls[0].AtMs
	var names []string
	for k, n := range skills {
		names = append(names, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(names)
	rate := math.NaN()
	if span > 0 {
		rate = float64(len(calls)-1) / span * 1000
	}
	return fmt.Sprintf(
		"%d calls in %.1f s, %.1f a second, at %d gateways; by skill: %s",
		len(calls),
		span/1000,
		rate,
		len(gateways),
		strings.Join(names, ", "),
	)
}

// Fingerprint returns a hash of a trace's calls.
func Fingerprint(calls []*api.Call) string {
	h := fnv.New64a()
	for _, c := range calls {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
		if err == nil {
			h.Write(b)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}
