// Package dnsdiscovery tracks the platform's list of endpoints. It reads the events in the configuration, then
// polls the complete list by DNS (RFC 1035, RFC 2782). It has no I/O and no clock.
//
// Responses may be lost, truncated or report a failure, and may have a wrong ID, a wrong source or an older list.
// So the client sends a query at each interval whether or not the previous one was answered, accepts a response to
// any of the latest queries, and uses a list only if it is complete and its serial is not lower than that of the
// previous list.
package dnsdiscovery

import (
	"errors"
	"net/netip"

	"github.com/miekg/dns"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// queryName is the name whose SRV records list the endpoints.
const queryName = "_data._tcp.farm.lan."

const (
	queryInterval   = 200.0 // ms; a change counts as announced at the latest 1.5 s after it happened
	maxOutstanding  = 16    // latest queries whose responses are accepted
	maxResponseSize = 8192  // bytes
)

// Target is an endpoint in a list.
type Target struct {
	ID            string
	Addr          netip.AddrPort
	DestinationID int // -1: not given
	State         routing.State
	StartedAt     float64 // Unix time of a recent start, ms; 0: not recent
}

// List is a complete endpoint list, or the changes since the previous one.
type List struct {
	Serial   uint32
	Complete bool
	Targets  []Target
}

// Counts are counters since the start.
type Counts struct {
	Queries     uint64 `json:"queries"`
	Responses   uint64 `json:"responses"`   // valid responses
	Unsolicited uint64 `json:"unsolicited"` // responses that match no query of this client
	Invalid     uint64 `json:"invalid"`     // responses that could not be decoded or used
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

// New returns a client of a name server; serial is that of the list already known.
func New(server netip.AddrPort, serial uint32, seed uint64) *Client {
	return &Client{Server: server, serial: serial, seed: seed}
}

// SetServer switches to another name server and makes a query due at once. Responses of the previous server are no
// longer accepted; the serial of the latest list stays in force.
func (c *Client) SetServer(server netip.AddrPort) {
	c.Server, c.outstanding, c.nextQueryAt = server, nil, 0
}

// NextQuery returns the time at which Query is due next, ms.
func (c *Client) NextQuery() float64 { return c.nextQueryAt }

// Query returns the next query to send; nil: none is due.
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
		return nil // impossible: only the ID varies
	}
	c.outstanding = append(c.outstanding, message.Id)
	if len(c.outstanding) > maxOutstanding {
		c.outstanding = c.outstanding[1:]
	}
	c.Counts.Queries++
	return query
}

// Errors of responses that are ignored.
var (
	ErrUnsolicited = errors.New("response matches no outstanding query")
	ErrOutdated    = errors.New("response has an older list")
)

// HandleResponse handles a received datagram. The returned list is nil if its serial is already known.
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
