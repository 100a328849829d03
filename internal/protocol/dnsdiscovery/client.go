// Package dnsdiscovery tracks the platform's list of endpoints. The list starts from the endpoint events in the
// platform's configuration (ParseEvent) and is then polled as a whole by DNS (RFC 1035, RFC 2782). The package does no
// I/O and reads no clock: callers send and receive the datagrams and pass in the time in milliseconds.
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
	queryInterval = 200.0 // ms; a gateway has to know a change 1.5 s after it happened, so some queries may be lost
	// responseTimeout is the time after a query, in ms, for which a response is accepted. It bounds how slow the name
	// server may be: with a slower one the list would not change any more.
	responseTimeout  = 30000.0
	maxRecentQueries = int(responseTimeout / queryInterval) // latest queries whose responses are accepted
	maxResponseSize  = 8192                                 // bytes
)

// Entry is an entry of an endpoint list.
type Entry struct {
	ID            string
	Addr          netip.AddrPort
	DestinationID int // -1 if it isn't given
	State         routing.State
	StartedAt     float64 // Unix time at which the endpoint started, ms; 0 if it didn't start recently
}

// List is a complete endpoint list, or the changes since the previous one.
type List struct {
	Serial   uint32
	Complete bool
	Entries  []Entry
}

// Counts holds the counters of a Client since it was created.
type Counts struct {
	Queries        uint64 `json:"queries"`
	ValidResponses uint64 `json:"responses"`
	Unsolicited    uint64 `json:"unsolicited"` // responses that match no query of this client
	Invalid        uint64 `json:"invalid"`     // responses that could not be decoded or used
	Outdated       uint64 `json:"outdated"`    // responses with an older list
}

// Client polls one name server.
type Client struct {
	Server netip.AddrPort
	Counts Counts

	serial      uint32 // serial number of the latest list
	seed        uint64
	randomDraws uint64   // random numbers drawn so far
	recentIDs   []uint16 // message IDs of the latest queries, whether or not they have been answered
	nextQueryAt float64
}

// New returns a client of a name server. serial is the serial number of the latest known list.
func New(server netip.AddrPort, serial uint32, seed uint64) *Client {
	return &Client{Server: server, serial: serial, seed: seed}
}

// SetServer switches to another name server; the next query is due immediately. Responses from the previous server are
// no longer accepted, and lists older than the latest one are still ignored.
func (c *Client) SetServer(server netip.AddrPort) {
	c.Server, c.recentIDs, c.nextQueryAt = server, nil, 0
}

// NextQueryAt returns the time at which the next query is due, in ms.
func (c *Client) NextQueryAt() float64 { return c.nextQueryAt }

// MakeQuery returns the next query to send. It returns nil if none is due.
func (c *Client) MakeQuery(now float64) []byte {
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
		return nil // Pack can't fail: all queries are the same except for the ID
	}
	c.recentIDs = append(c.recentIDs, message.Id)
	if len(c.recentIDs) > maxRecentQueries {
		c.recentIDs = c.recentIDs[1:]
	}
	c.Counts.Queries++
	return query
}

// Errors that HandleResponse returns for responses that it ignores.
var (
	ErrUnsolicited = errors.New("response matches no recent query")
	ErrOutdated    = errors.New("response has an older list than the latest one")
)

// HandleResponse handles a received datagram. The returned list is nil if its serial is that of
// the latest list.
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
		c.Counts.ValidResponses++
		if list != nil {
			c.serial = list.Serial
		}
	}
	return list, err
}
