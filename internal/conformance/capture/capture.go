// Package capture writes and reads the capture of a run: the datagrams at the gateways' sockets and what happened
// around them, in the format of api/capture.proto.
package capture

//tally:standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/encoding/protodelim"

	"cobaltpier/api"
)

// Writer writes records to a file.
type Writer struct {
	w   *bufio.Writer
	err error
}

// NewWriter returns a writer to w. The caller closes w after Flush.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, 1<<18)} }

// Add appends a record. Flush returns the first error.
func (w *Writer) Add(r *api.Record) {
	if w.err == nil {
		_, w.err = protodelim.MarshalTo(w.w, r)
	}
}

// Flush writes the buffered records.
func (w *Writer) Flush() error {
	if w.err == nil {
		w.err = w.w.Flush()
	}
	if w.err != nil {
		return fmt.Errorf("capture: %w", w.err)
	}
	return nil
}

// Read calls do for each record. If the file is truncated, do gets the complete records before the error, which
// names the incomplete one.
func Read(r io.Reader, do func(*api.Record) error) error {
	rd := bufio.NewReaderSize(r, 1<<18)
	for n := 1; ; n++ {
		rec := &api.Record{}
		err := protodelim.UnmarshalOptions{MaxSize: 1 << 20}.UnmarshalFrom(rd, rec)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("capture: record %d: %w", n, err)
		}
		if err := do(rec); err != nil {
			return fmt.Errorf("capture: record %d: %w", n, err)
		}
	}
}

// Text formats a record for people: one line, or the complete SIP message if whole is set. It adds the nodes it
// sees to names, which maps addresses to names.
func Text(r *api.Record, names map[string]string, whole bool) string {
	name := func(a string) string {
		if n := names[a]; n != "" {
			return n
		}
		return a
	}
	head := fmt.Sprintf("%10.3f ", r.At)
	switch v := r.What.(type) {
	case *api.Record_Node:
		names[v.Node.Addr] = v.Node.Name
		return head + fmt.Sprintf("node    %-8s %-12s %s", v.Node.Role, v.Node.Name, v.Node.Addr)
	case *api.Record_Datagram:
		d := v.Datagram
		text := string(d.Data)
		if !whole {
			lines := strings.Split(text, "\r\n")
			text = lines[0]
			for _, l := range lines[1:] {
				if strings.HasPrefix(l, "Session-ID:") || strings.HasPrefix(l, "CSeq:") {
					text += " | " + l
				}
			}
		}
		return head + fmt.Sprintf("%-10s > %-10s %s", name(d.From), name(d.To), text)
	case *api.Record_Listing:
		parts := make([]string, 0, len(v.Listing.Entries))
		for _, e := range v.Listing.Entries {
			parts = append(parts, fmt.Sprintf("%s=%s", e.Id, e.State))
		}
		return head + fmt.Sprintf("list    > %-10s %s", v.Listing.Edge, strings.Join(parts, " "))
	case *api.Record_Mark:
		return head + fmt.Sprintf("mark    %s %s %s", v.Mark.What, v.Mark.Who, v.Mark.Text)
	case *api.Record_Rules:
		return head + fmt.Sprintf("rules   %v", v.Rules)
	}
	return head + "?"
}
