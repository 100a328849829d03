// Package hclconfig reads HCL settings. Each error names the file, the line and what was expected there, and all
// errors of a file are returned together. A program requests values and blocks by name; those that it does not
// request are errors.
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

// File is a file of settings and the errors found in it.
type File struct {
	diags  hcl.Diagnostics
	src    *hcl.File
	blocks []*Block
}

// Block is a block, or the top level of a file.
type Block struct {
	file      *File
	body      *hclsyntax.Body
	name      string
	Labels    []string
	location  hcl.Range
	requested map[string]bool
}

// Required as a default means that the value must be given.
var Required = math.NaN()

// Parse parses settings from memory and returns their top level. Errors name the file as name.
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

// Err returns all errors. It is called after all values were requested; those that were not requested are errors
// too.
func (b *Block) Err() error {
	f := b.file
	for _, b := range f.blocks {
		for name, a := range b.body.Attributes {
			if !b.requested[name] {
				b.addErrorAt(a.NameRange, "unknown key %q; known here: %s", name, b.requestedNames())
			}
		}
		for _, c := range b.body.Blocks {
			if !b.requested["{"+c.Type] {
				b.addErrorAt(c.TypeRange, "unknown block %q; known here: %s", c.Type, b.requestedNames())
			}
		}
		b.requested = map[string]bool{}
		b.body = &hclsyntax.Body{}
	}
	sortDiags(f.diags)
	return f.err()
}

// requestedNames lists the keys and blocks that were requested.
func (b *Block) requestedNames() string {
	var names []string
	for n := range b.requested {
		names = append(names, strings.TrimPrefix(n, "{"))
	}
	sortStrings(names)
	return strings.Join(names, ", ")
}

func (b *Block) addErrorAt(at hcl.Range, format string, args ...any) {
	b.file.diags = append(
		b.file.diags,
		&hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at},
	)
}

// AddError adds an error at the value of a key, or at the block if the key is absent.
func (b *Block) AddError(name, format string, args ...any) {
	at := b.location
	if a := b.body.Attributes[name]; a != nil {
		at = a.Expr.Range()
	}
	b.addErrorAt(at, format, args...)
}

// Has reports whether a key is present.
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
			b.AddError(name, "%s: want a value", name)
		}
		return cty.NilVal, false
	}
	return v, true
}

func (b *Block) addMissing(name, want string) {
	if b.body.Attributes[name] == nil {
		b.addErrorAt(b.location, "%s: want %s = %s", b.name, name, want)
	}
}

// Num returns a number from lo to hi, or def if the key is absent. If def is Required, an absent key is an error.
func (b *Block) Num(name string, def, lo, hi float64) float64 {
	v, ok := b.value(name)
	if !ok {
		if math.IsNaN(def) {
			b.addMissing(name, fmt.Sprintf("a number from %g to %g", lo, hi))
		}
		return def
	}
	if v.Type() != cty.Number {
		b.AddError(name, "%s: want a number from %g to %g", name, lo, hi)
		return def
	}
	n, _ := v.AsBigFloat().Float64()
	if !(n >= lo && n <= hi) {
		b.AddError(name, "%s: want a number from %g to %g, got %g", name, lo, hi, n)
		return def
	}
	return n
}

// Int returns a whole number from lo to hi, or def if the key is absent.
func (b *Block) Int(name string, def, lo, hi int) int {
	d := float64(def)
	n := b.Num(name, d, float64(lo), float64(hi))
	if n != math.Trunc(n) {
		b.AddError(name, "%s: want a whole number, got %g", name, n)
	}
	return int(n)
}

// Ms returns a duration, written as "250ms" or "2s", in milliseconds. lo, hi and def are as for Num.
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
		b.AddError(name, "%s: want %s", name, want)
		return def
	}
	d, err := time.ParseDuration(v.AsString())
	ms := float64(d) / 1e6
	if err != nil || ms < lo || ms > hi {
		b.AddError(name, "%s: want %s, got %q", name, want, v.AsString())
		return def
	}
	return ms
}

func formatMillis(ms float64) string { return time.Duration(ms * 1e6).String() }

// Text returns a string, or def if the key is absent. If allowed strings are given, any other is an error.
func (b *Block) Text(name, def string, allowed ...string) string {
	v, ok := b.value(name)
	if !ok {
		return def
	}
	if v.Type() != cty.String {
		b.AddError(name, "%s: want a string", name)
		return def
	}
	s := v.AsString()
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	if len(allowed) > 0 {
		b.AddError(name, "%s: want one of %s, got %q", name, strings.Join(allowed, ", "), s)
		return def
	}
	return s
}

// RequiredText returns a string that must be present and not empty.
func (b *Block) RequiredText(name string) string {
	s := b.Text(name, "")
	if s == "" {
		if b.Has(name) {
			b.AddError(name, "%s: want a string that is not empty", name)
		} else {
			b.addMissing(name, "a string")
		}
	}
	return s
}

// Flag returns true or false, or def if the key is absent.
func (b *Block) Flag(name string, def bool) bool {
	v, ok := b.value(name)
	if !ok {
		return def
	}
	if v.Type() != cty.Bool {
		b.AddError(name, "%s: want true or false", name)
		return def
	}
	return v.True()
}

// Addr returns an address, which must be given as IP:port.
func (b *Block) Addr(name string) netip.AddrPort {
	s := b.RequiredText(name)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		b.AddError(name, "%s: want an address such as \"127.0.0.1:5060\", got %q", name, s)
	}
	return a
}

// TextList returns a list of strings, or nil if the key is absent.
func (b *Block) TextList(name string) []string {
	v, ok := b.value(name)
	if !ok {
		return nil
	}
	var values []string
	if v.Type().IsTupleType() || v.Type().IsListType() {
		for _, e := range v.AsValueSlice() {
			if e.Type() != cty.String {
				b.AddError(name, "%s: want a list of strings", name)
				return nil
			}
			values = append(values, e.AsString())
		}
		return values
	}
	b.AddError(name, "%s: want a list of strings", name)
	return nil
}

// Pair returns a range, written as [min, max] or as one number for both. lo and hi are the default.
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
		b.AddError(name, "%s: want a number or [min, max]", name)
		return lo, hi
	}
	x, _ := nums[0].AsBigFloat().Float64()
	y, _ := nums[1].AsBigFloat().Float64()
	if x > y {
		b.AddError(name, "%s: want [min, max], got [%g, %g]", name, x, y)
	}
	return x, y
}

// Blocks returns the blocks of a type. A block with another number of labels is an error.
func (b *Block) Blocks(kind string, labels int) []*Block {
	b.requested["{"+kind] = true
	var found []*Block
	for _, c := range b.body.Blocks {
		if c.Type != kind {
			continue
		}
		if len(c.Labels) != labels {
			b.addErrorAt(c.TypeRange, "%s: want %d labels, got %d", kind, labels, len(c.Labels))
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

// SingleBlock returns the block of a type that may occur once, or an empty block if there is none.
func (b *Block) SingleBlock(kind string) *Block {
	blocks := b.Blocks(kind, 0)
	if len(blocks) > 1 {
		b.addErrorAt(blocks[1].location, "%s: want at most one such block", kind)
	}
	if len(blocks) == 0 {
		return &Block{file: b.file, body: &hclsyntax.Body{}, name: kind, location: b.location, requested: map[string]bool{}}
	}
	return blocks[0]
}

// Override sets a value, before any value is requested. path is the key with the names of the blocks around it,
// separated by dots ("endpoints.count"); text is the value in HCL syntax.
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

// Position returns the file and the line of the block.
func (b *Block) Position() string {
	return fmt.Sprintf("%s:%d", b.location.Filename, b.location.Start.Line)
}
