// Package dnsdiscovery follows the platform's list of core switches: the events known at the start, then the whole list by
// DNS (RFC 1035, RFC 2782), asked for again and again. It has no I/O and no clock.
//
// Answers may be lost, fail, come cut short, under another id, from elsewhere or with an older list. So a question goes
// out every so often whatever became of the one before, any answer to one of the latest questions counts, and a list
// counts only when it is whole and its number is not below the one that is had.
package dnsdiscovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// queryName is what the list is asked for by.
const queryName = "_data._tcp.farm.lan."

const (
	queryInterval  = 200.0 // ms between two questions: a change counts as told 1.5 s after it happened at the latest
	maxOutstanding = 16    // questions that may still be answered
	maxAnswerSize  = 8192  // bytes of an answer
)

// Target is one core switch.
type Target struct {
	ID            string
	Addr          netip.AddrPort
	DestinationID int
	State         routing.State
	StartedAt     float64 // Unix ms of a late start, 0: long ago
}

// List is a list or a change of it, by its number.
type List struct {
	Serial   uint32
	Complete bool
	Targets  []Target
}

// ParseEvent reads an event of the configuration.
func ParseEvent(raw []byte) (List, error) {
	var w struct {
		No     uint32
		Roster struct {
			All     bool
			Targets []struct {
				UID      string
				Endpoint string
				PodGroup int `json:"pod_group"`
				State    string
				BootMS   float64 `json:"boot_ms"`
			}
		}
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return List{}, err
	}
	l := List{Serial: w.No, Complete: w.Roster.All}
	states := map[string]routing.State{"ready": routing.Ready, "draining": routing.Draining, "gone": routing.Gone}
	for _, t := range w.Roster.Targets {
		s, ok := states[t.State]
		if !ok || t.UID == "" {
			return List{}, fmt.Errorf("target %q: state: want ready, draining or gone, got %q", t.UID, t.State)
		}
		a, err := netip.ParseAddrPort(t.Endpoint)
		if err != nil && s != routing.Gone {
			return List{}, fmt.Errorf("target %q: endpoint: want an address, got %q", t.UID, t.Endpoint)
		}
		l.Targets = append(l.Targets, Target{ID: t.UID, Addr: a, DestinationID: t.PodGroup, State: s, StartedAt: t.BootMS})
	}
	return l, nil
}

// Client is the list as one gateway follows it.
type Client struct {
	Server      netip.AddrPort
	Queries     struct{ Asked, Heard, Strays, Bad, Old uint64 }
	serial      uint32
	seed        uint64
	draws       uint64
	outstanding []uint16 // of the latest questions
	nextQueryAt float64
}

// New follows a server; no is the number of the last event that is had.
func New(server netip.AddrPort, no uint32, seed uint64) *Client {
	return &Client{Server: server, serial: no, seed: seed}
}

// SetServer follows another server: answers of the old one do not count any more, numbers go on, and it is asked at once.
func (c *Client) SetServer(server netip.AddrPort) {
	c.Server, c.outstanding, c.nextQueryAt = server, nil, 0
}

// NextQuery is when Ask is wanted.
func (c *Client) NextQuery() float64 { return c.nextQueryAt }

// Query makes the next question, nil where none is due.
func (c *Client) Query(now float64) []byte {
	if now < c.nextQueryAt {
		return nil
	}
	c.nextQueryAt = now + queryInterval
	c.draws++
	id := uint16(detrand.Float64(c.seed, c.draws) * (1 << 16))
	q := &dns.Msg{}
	q.Id = id
	q.Question = []dns.Question{{Name: queryName, Qtype: dns.TypeSRV, Qclass: dns.ClassINET}}
	b, err := q.Pack()
	if err != nil {
		return nil // can't be: nothing in it varies but the id
	}
	if c.outstanding = append(c.outstanding, id); len(c.outstanding) > maxOutstanding {
		c.outstanding = c.outstanding[1:]
	}
	c.Queries.Asked++
	return b
}

// What is wrong with answers that do not count.
var (
	ErrUnsolicited = errors.New("not an answer to a question of ours")
	ErrOutdated    = errors.New("an older list")
)

// HandleResponse takes a datagram. The list is nil where it says nothing new.
func (c *Client) HandleResponse(from netip.AddrPort, b []byte) (*List, error) {
	list, err := c.parseResponse(from, b)
	switch {
	case errors.Is(err, ErrUnsolicited):
		c.Queries.Strays++
	case errors.Is(err, ErrOutdated):
		c.Queries.Old++
	case err != nil:
		c.Queries.Bad++
	default:
		c.Queries.Heard++
		if list != nil {
			c.serial = list.Serial
		}
	}
	return list, err
}

func (c *Client) parseResponse(from netip.AddrPort, b []byte) (*List, error) {
	if from != c.Server || len(b) > maxAnswerSize {
		return nil, ErrUnsolicited
	}
	m := &dns.Msg{}
	if err := m.Unpack(b); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	if !m.Response || !slices.Contains(c.outstanding, m.Id) || len(m.Question) != 1 ||
		!strings.EqualFold(m.Question[0].Name, queryName) || m.Question[0].Qtype != dns.TypeSRV {
		return nil, ErrUnsolicited
	}
	if m.Truncated || m.Rcode != dns.RcodeSuccess {
		return nil, fmt.Errorf("answer: truncated %v, code %d", m.Truncated, m.Rcode)
	}
	list := &List{Complete: true}
	numbered := false
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			list.Serial, numbered = s.Serial, true
		}
	}
	switch {
	case !numbered:
		return nil, errors.New("answer: no SOA record")
	case list.Serial < c.serial:
		return nil, ErrOutdated
	case list.Serial == c.serial:
		return nil, nil
	}
	addrs, texts := map[string]netip.Addr{}, map[string][]string{}
	for _, rr := range append(slices.Clone(m.Answer), m.Extra...) {
		switch x := rr.(type) {
		case *dns.A:
			a, _ := netip.AddrFromSlice(x.A.To4())
			addrs[strings.ToLower(x.Hdr.Name)] = a
		case *dns.TXT:
			texts[strings.ToLower(x.Hdr.Name)] = x.Txt
		}
	}
	for _, rr := range m.Answer {
		s, ok := rr.(*dns.SRV)
		if !ok || !strings.EqualFold(s.Hdr.Name, queryName) {
			continue
		}
		host := strings.ToLower(s.Target)
		id, _, _ := strings.Cut(host, ".")
		a, ok := addrs[host]
		t, ok2 := texts[host]
		if !ok || !ok2 || id == "" {
			return nil, fmt.Errorf("answer: %s: no address or text", host)
		}
		x := Target{ID: id, Addr: netip.AddrPortFrom(a, s.Port), State: routing.Ready, DestinationID: -1}
		if s.Priority != 0 {
			x.State = routing.Draining
		}
		for _, kv := range t {
			k, v, _ := strings.Cut(kv, "=")
			var err error
			switch k {
			case "cell":
				x.DestinationID, err = strconv.Atoi(v)
			case "started":
				x.StartedAt, err = strconv.ParseFloat(v, 64)
			}
			if err != nil {
				return nil, fmt.Errorf("answer: %s: %q", host, kv)
			}
		}
		list.Targets = append(list.Targets, x)
	}
	return list, nil
}
