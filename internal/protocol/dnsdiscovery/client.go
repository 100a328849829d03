// Package dnsdiscovery follows the platform's list of endpoints: the events known at the start, then the complete list
// by DNS (RFC 1035, RFC 2782), polled at an interval. It has no I/O and no clock.
//
// Responses may be lost, fail, be truncated, or come under another ID, from elsewhere or with an older list. So a query
// is sent at each interval whatever became of the one before, a response to any of the latest queries counts, and a
// list counts only if it is complete and its serial is not below that of the list before.
package dnsdiscovery

import (
	"errors"
	"net/netip"

	"github.com/miekg/dns"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// queryName is the name whose SRV records are the list.
const queryName = "_data._tcp.farm.lan."

const (
	queryInterval   = 200.0 // ms; a change counts as announced 1.5 s after it happened at the latest
	maxOutstanding  = 16    // queries that may still be answered
	maxResponseSize = 8192  // bytes
)

// Target is one endpoint of a list.
type Target struct {
	ID            string
	Addr          netip.AddrPort
	DestinationID int // -1: not given
	State         routing.State
	StartedAt     float64 // Unix time of a recent start, ms; 0: long ago
}

// List is an endpoint list, or what has changed since the one before.
type List struct {
	Serial   uint32
	Complete bool
	Targets  []Target
}

// Counts are counts since the start.
type Counts struct {
	Queries     uint64 `json:"queries"`
	Responses   uint64 `json:"responses"`   // that were used
	Unsolicited uint64 `json:"unsolicited"` // responses to no query of this client
	Invalid     uint64 `json:"invalid"`     // responses that could not be used
	Outdated    uint64 `json:"outdated"`    // responses with an older list
}

// Client polls one name server.
type Client struct {
	Server netip.AddrPort
	Counts Counts

	serial      uint32 // of the latest list
	seed        uint64
	randomDraws uint64
	outstanding []uint16 // IDs of the latest queries
	nextQueryAt float64
}

// New makes a client of a server; serial is that of the list that is known already.
func New(server netip.AddrPort, serial uint32, seed uint64) *Client {
	return &Client{Server: server, serial: serial, seed: seed}
}

// SetServer follows another server. Responses of the old one do not count any more, serials go on, and the new one is
// queried at once.
func (c *Client) SetServer(server netip.AddrPort) {
	c.Server, c.outstanding, c.nextQueryAt = server, nil, 0
}

// NextQuery is when Query is wanted next, ms.
func (c *Client) NextQuery() float64 { return c.nextQueryAt }

// Query makes the next query; nil: none is due.
func (c *Client) Query(now float64) []byte {
	if now < c.nextQueryAt {
		return nil
	}
	c.nextQueryAt = now + queryInterval
	c.randomDraws++
	message := &dns.Msg{}
	message.Id = uint16(detrand.Float64(c.seed, c.randomDraws) * (1 << 16))
	message.Question = []dns.Question{{Name: queryName, Qtype: dns.TypeSRV, Qclass: dns.ClassINET}}
	query, err := message.Pack()
	if err != nil {
		return nil // can't be: only the ID varies
	}
	c.outstanding = append(c.outstanding, message.Id)
	if len(c.outstanding) > maxOutstanding {
		c.outstanding = c.outstanding[1:]
	}
	c.Counts.Queries++
	return query
}

// Errors of responses that do not count.
var (
	ErrUnsolicited = errors.New("response to no query of this client")
	ErrOutdated    = errors.New("older list")
)

// HandleResponse takes a datagram. The list is nil where it is the one that is known already.
func (c *Client) HandleResponse(from netip.AddrPort, data []byte) (*List, error) {
	list, err := c.parseResponse(from, data)
	switch {
	case errors.Is(err, ErrUnsolicited):
		c.Counts.Unsolicited++
	case errors.Is(err, ErrOutdated):
		c.Counts.Outdated++
	case err != nil:
		c.Counts.Invalid++
	default:
		c.Counts.Responses++
		if list != nil {
			c.serial = list.Serial
		}
	}
	return list, err
}
