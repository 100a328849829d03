// Package hclconfig reads HCL settings so that every fault is told with its file, its line and what was expected there.
// Whoever reads a file asks for the values by name; what nobody asked for is refused. The first pass finds all faults.
package hclconfig

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// File is one file of settings.
type File struct {
	diags  hcl.Diagnostics
	src    *hcl.File
	blocks []*Block
}

// Block is a block, or a file's top.
type Block struct {
	file      *File
	body      *hclsyntax.Body
	name      string
	Labels    []string
	location  hcl.Range
	requested map[string]bool
}

// Required as a default says that a value must be there.
var Required = math.NaN()

// Parse reads settings that are at hand; name stands in the errors.
func Parse(name string, src []byte) (*Block, error) {
	file, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	f := &File{diags: diags, src: file}
	if diags.HasErrors() {
		return nil, f.err()
	}
	b := &Block{file: f, body: file.Body.(*hclsyntax.Body), requested: map[string]bool{},
		location: hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}}
	f.blocks = append(f.blocks, b)
	return b, nil
}

func (f *File) err() error {
	if !f.diags.HasErrors() {
		return nil
	}
	var lines []string
	for _, d := range f.diags {
		where := ""
		if d.Subject != nil {
			where = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		lines = append(lines, where+text)
	}
	return fmt.Errorf("settings: %s", strings.Join(lines, "\n  "))
}

// Err tells all faults, after everything was asked for: also what nobody asked for.
func (b *Block) Err() error {
	f := b.file
	for _, b := range f.blocks {
		for name, a := range b.body.Attributes {
			if !b.requested[name] {
				b.addError(a.NameRange, "unknown key %q; known here: %s", name, b.requestedNames())
			}
		}
		for _, c := range b.body.Blocks {
			if !b.requested["{"+c.Type] {
				b.addError(c.TypeRange, "unknown block %q; known here: %s", c.Type, b.requestedNames())
			}
		}
		b.requested = map[string]bool{}
		b.body = &hclsyntax.Body{}
	}
	sortDiags(f.diags)
	return f.err()
}

func (b *Block) requestedNames() string {
	var names []string
	for n := range b.requested {
		names = append(names, strings.TrimPrefix(n, "{"))
	}
	sortStrings(names)
	return strings.Join(names, ", ")
}

func (b *Block) addError(at hcl.Range, format string, args ...any) {
	b.file.diags = append(
		b.file.diags,
		&hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at},
	)
}

// Fault adds a fault of the value of a name, or of the block where that is not there.
func (b *Block) Fault(name, format string, args ...any) {
	at := b.location
	if a := b.body.Attributes[name]; a != nil {
		at = a.Expr.Range()
	}
	b.addError(at, format, args...)
}

// Has tells whether a value is there.
func (b *Block) Has(name string) bool {
	b.requested[name] = true
	return b.body.Attributes[name] != nil
}

func (b *Block) value(name string) (cty.Value, bool) {
	b.requested[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	b.file.diags = append(b.file.diags, diags...)
	if diags.HasErrors() || v.IsNull() || !v.IsKnown() {
		if !diags.HasErrors() {
			b.Fault(name, "%s: want a value", name)
		}
		return cty.NilVal, false
	}
	return v, true
}

func (b *Block) addMissing(name, want string) {
	if b.body.Attributes[name] == nil {
		b.addError(b.location, "%s: want %s = %s", b.name, name, want)
	}
}

// Num is a number from lo to hi; def where it is missing, and Required as def makes that a fault.
func (b *Block) Num(name string, def, lo, hi float64) float64 {
	v, ok := b.value(name)
	if !ok {
		if math.IsNaN(def) {
			b.addMissing(name, fmt.Sprintf("a number from %g to %g", lo, hi))
		}
		return def
	}
	if v.Type() != cty.Number {
		b.Fault(name, "%s: want a number from %g to %g", name, lo, hi)
		return def
	}
	n, _ := v.AsBigFloat().Float64()
	if !(n >= lo && n <= hi) {
		b.Fault(name, "%s: want a number from %g to %g, got %g", name, lo, hi, n)
		return def
	}
	return n
}

// Int is a whole number.
func (b *Block) Int(name string, def, lo, hi int) int {
	d := float64(def)
	n := b.Num(name, d, float64(lo), float64(hi))
	if n != math.Trunc(n) {
		b.Fault(name, "%s: want a whole number, got %g", name, n)
	}
	return int(n)
}

// Ms is a duration such as "250ms" or "2s", as milliseconds.
func (b *Block) Ms(name string, def, lo, hi float64) float64 {
	v, ok := b.value(name)
	want := fmt.Sprintf("a duration from %q to %q", formatMillis(lo), formatMillis(hi))
	if !ok {
		if math.IsNaN(def) {
			b.addMissing(name, want)
		}
		return def
	}
	if v.Type() != cty.String {
		b.Fault(name, "%s: want %s", name, want)
		return def
	}
	d, err := time.ParseDuration(v.AsString())
	ms := float64(d) / 1e6
	if err != nil || ms < lo || ms > hi {
		b.Fault(name, "%s: want %s, got %q", name, want, v.AsString())
		return def
	}
	return ms
}

func formatMillis(ms float64) string { return time.Duration(ms * 1e6).String() }

// Text is a string; of: the only ones that are allowed, if any are named.
func (b *Block) Text(name, def string, allowed ...string) string {
	v, ok := b.value(name)
	if !ok {
		return def
	}
	if v.Type() != cty.String {
		b.Fault(name, "%s: want a string", name)
		return def
	}
	s := v.AsString()
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	if len(allowed) > 0 {
		b.Fault(name, "%s: want one of %s, got %q", name, strings.Join(allowed, ", "), s)
		return def
	}
	return s
}

// Must is a string that has to be there and not empty.
func (b *Block) Must(name string) string {
	s := b.Text(name, "")
	if s == "" {
		if b.Has(name) {
			b.Fault(name, "%s: want a string that is not empty", name)
		} else {
			b.addMissing(name, "a string")
		}
	}
	return s
}

// Flag is true or false.
func (b *Block) Flag(name string, def bool) bool {
	v, ok := b.value(name)
	if !ok {
		return def
	}
	if v.Type() != cty.Bool {
		b.Fault(name, "%s: want true or false", name)
		return def
	}
	return v.True()
}

// Addr is host:port with a numeric host.
func (b *Block) Addr(name string) netip.AddrPort {
	s := b.Must(name)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		b.Fault(name, "%s: want an address such as \"127.0.0.1:5060\", got %q", name, s)
	}
	return a
}

// Texts is a list of strings.
func (b *Block) Texts(name string) []string {
	v, ok := b.value(name)
	if !ok {
		return nil
	}
	var values []string
	if v.Type().IsTupleType() || v.Type().IsListType() {
		for _, e := range v.AsValueSlice() {
			if e.Type() != cty.String {
				b.Fault(name, "%s: want a list of strings", name)
				return nil
			}
			values = append(values, e.AsString())
		}
		return values
	}
	b.Fault(name, "%s: want a list of strings", name)
	return nil
}

// Pair is a range [lo, hi] of numbers, or one number for both.
func (b *Block) Pair(name string, lo, hi float64) (float64, float64) {
	v, ok := b.value(name)
	if !ok {
		return lo, hi
	}
	nums := []cty.Value{v, v}
	if v.Type().IsTupleType() {
		nums = v.AsValueSlice()
	}
	if len(nums) != 2 || nums[0].Type() != cty.Number || nums[1].Type() != cty.Number {
		b.Fault(name, "%s: want a number or [least, most]", name)
		return lo, hi
	}
	x, _ := nums[0].AsBigFloat().Float64()
	y, _ := nums[1].AsBigFloat().Float64()
	if x > y {
		b.Fault(name, "%s: want [least, most], got [%g, %g]", name, x, y)
	}
	return x, y
}

// Blocks are the blocks of a type, each with so many labels.
func (b *Block) Blocks(kind string, labels int) []*Block {
	b.requested["{"+kind] = true
	var found []*Block
	for _, c := range b.body.Blocks {
		if c.Type != kind {
			continue
		}
		if len(c.Labels) != labels {
			b.addError(c.TypeRange, "%s: want %d names behind it, got %d", kind, labels, len(c.Labels))
			continue
		}
		n := &Block{
			file:      b.file,
			body:      c.Body,
			name:      kind,
			Labels:    c.Labels,
			location:  c.TypeRange,
			requested: map[string]bool{},
		}
		b.file.blocks = append(b.file.blocks, n)
		found = append(found, n)
	}
	return found
}

// One is the one block of a type; an empty one where it is missing. Two are a fault.
func (b *Block) One(kind string) *Block {
	blocks := b.Blocks(kind, 0)
	if len(blocks) > 1 {
		b.addError(blocks[1].location, "%s: want one such block, this is another", kind)
	}
	if len(blocks) == 0 {
		return &Block{file: b.file, body: &hclsyntax.Body{}, name: kind, location: b.location, requested: map[string]bool{}}
	}
	return blocks[0]
}

// Override puts another value in the place of one, or where there is none, before anything was read: path is the name,
// with the names of the blocks before it and dots between ("endpoints.count"); text is the value as a file would have
// it.
func (b *Block) Override(path, text string) error {
	expr, diags := hclsyntax.ParseExpression([]byte(text), path, hcl.InitialPos)
	if diags.HasErrors() {
		return fmt.Errorf("settings: %s = %s: %w", path, text, diags)
	}
	body, names := b.body, strings.Split(path, ".")
	for _, n := range names[:len(names)-1] {
		var child *hclsyntax.Block
		for _, c := range body.Blocks {
			if c.Type == n && len(c.Labels) == 0 || len(c.Labels) == 1 && c.Labels[0] == n {
				child = c
			}
		}
		if child == nil {
			child = &hclsyntax.Block{Type: n, Body: &hclsyntax.Body{Attributes: hclsyntax.Attributes{}}, TypeRange: expr.Range()}
			body.Blocks = append(body.Blocks, child)
		}
		body = child.Body
	}
	last := names[len(names)-1]
	body.Attributes[last] = &hclsyntax.Attribute{Name: last, Expr: expr, SrcRange: expr.Range(), NameRange: expr.Range()}
	return nil
}

// Where is the block's file and line.
func (b *Block) Where() string {
	return fmt.Sprintf("%s:%d", b.location.Filename, b.location.Start.Line)
}
