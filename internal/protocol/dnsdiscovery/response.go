package dnsdiscovery

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/routing"
)

// parseResponse parses a response. It returns nil without an error if the list has the serial of the
// latest list.
func (c *Client) parseResponse(from netip.AddrPort, data []byte) (*List, error) {
	if from != c.Server || len(data) > maxResponseSize {
		return nil, ErrUnsolicited
	}
	message := &dns.Msg{}
	if err := message.Unpack(data); err != nil {
		return nil, fmt.Errorf("response: %w", err)
	}
	if !c.matches(message) {
		return nil, ErrUnsolicited
	}
	if message.Truncated || message.Rcode != dns.RcodeSuccess {
		return nil, fmt.Errorf("response is not usable: truncated %v, response code %d", message.Truncated, message.Rcode)
	}
	serial, ok := serialOf(message)
	switch {
	case !ok:
		return nil, errors.New("response: no SOA record")
	case serial < c.serial:
		return nil, ErrOutdated
	case serial == c.serial:
		return nil, nil
	}
	entries, err := entriesOf(message)
	if err != nil {
		return nil, fmt.Errorf("response: %w", err)
	}
	return &List{Serial: serial, Complete: true, Entries: entries}, nil
}

// matches reports whether a message is a response to one of the latest queries.
func (c *Client) matches(message *dns.Msg) bool {
	if !message.Response || !slices.Contains(c.recentIDs, message.Id) || len(message.Question) != 1 {
		return false
	}
	question := message.Question[0]
	return strings.EqualFold(question.Name, queryName) && question.Qtype == dns.TypeSRV
}

// serialOf returns the serial of the list, from the SOA record in the authority section.
func serialOf(message *dns.Msg) (serial uint32, ok bool) {
	for _, record := range message.Ns {
		if soa, isSOA := record.(*dns.SOA); isSOA {
			serial, ok = soa.Serial, true
		}
	}
	return serial, ok
}

// entriesOf returns the endpoints in a response, each from its SRV, A and TXT records.
func entriesOf(message *dns.Msg) ([]Entry, error) {
	addresses, texts := hostRecords(message)
	var entries []Entry
	for _, record := range message.Answer {
		srv, ok := record.(*dns.SRV)
		if !ok || !strings.EqualFold(srv.Hdr.Name, queryName) {
			continue
		}
		host := strings.ToLower(srv.Target)
		id, _, _ := strings.Cut(host, ".")
		address, hasAddress := addresses[host]
		text, hasText := texts[host]
		if !hasAddress || !hasText || id == "" {
			return nil, fmt.Errorf("host %q: want a name with an A and a TXT record", host)
		}
		entry := Entry{
			ID:            id,
			Addr:          netip.AddrPortFrom(address, srv.Port),
			State:         routing.Ready,
			DestinationID: -1,
		}
		if srv.Priority != 0 {
			entry.State = routing.Draining
		}
		if err := entry.applyText(text); err != nil {
			return nil, fmt.Errorf("%s: %w", host, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// hostRecords collects the A and TXT records by host name.
func hostRecords(message *dns.Msg) (addresses map[string]netip.Addr, texts map[string][]string) {
	addresses, texts = map[string]netip.Addr{}, map[string][]string{}
	for _, record := range append(slices.Clone(message.Answer), message.Extra...) {
		switch record := record.(type) {
		case *dns.A:
			address, _ := netip.AddrFromSlice(record.A.To4())
			addresses[strings.ToLower(record.Hdr.Name)] = address
		case *dns.TXT:
			texts[strings.ToLower(record.Hdr.Name)] = record.Txt
		}
	}
	return addresses, texts
}

// applyText sets the entry's properties from the fields `name=value` of a TXT record. Unknown fields are ignored.
func (t *Entry) applyText(fields []string) error {
	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "cell":
			t.DestinationID, err = strconv.Atoi(value)
		case "started":
			t.StartedAt, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return fmt.Errorf("%q: %w", field, err)
		}
	}
	return nil
}
