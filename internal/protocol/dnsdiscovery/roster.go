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

// name is what the list is asked for by.
const name = "_data._tcp.farm.lan."

const (
	every  = 200.0 // ms between two questions: a change counts as told 1.5 s after it happened at the latest
	recent = 16    // questions that may still be answered
	most   = 8192  // bytes of an answer
)

// Target is one core switch.
type Target struct {
	ID      string
	Addr    netip.AddrPort
	Cell    int
	State   routing.State
	Started float64 // Unix ms of a late start, 0: long ago
}

// List is a list or a change of it, by its number.
type List struct {
	No      uint32
	Whole   bool
	Targets []Target
}

// Event reads an event of the configuration.
func Event(raw []byte) (List, error) {
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
	l := List{No: w.No, Whole: w.Roster.All}
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
		l.Targets = append(l.Targets, Target{ID: t.UID, Addr: a, Cell: t.PodGroup, State: s, Started: t.BootMS})
	}
	return l, nil
}

// Roster is the list as one gateway follows it.
type Roster struct {
	Server netip.AddrPort
	Counts struct{ Asked, Heard, Strays, Bad, Old uint64 }
	no     uint32
	seed   uint64
	draws  uint64
	ids    []uint16 // of the latest questions
	next   float64
}

// New follows a server; no is the number of the last event that is had.
func New(server netip.AddrPort, no uint32, seed uint64) *Roster {
	return &Roster{Server: server, no: no, seed: seed}
}

// Turn follows another server: answers of the old one do not count any more, numbers go on, and it is asked at once.
func (r *Roster) Turn(server netip.AddrPort) {
	r.Server, r.ids, r.next = server, nil, 0
}

// Next is when Ask is wanted.
func (r *Roster) Next() float64 { return r.next }

// Ask makes the next question, nil where none is due.
func (r *Roster) Ask(now float64) []byte {
	if now < r.next {
		return nil
	}
	r.next = now + every
	r.draws++
	id := uint16(detrand.Of(r.seed, r.draws) * (1 << 16))
	q := &dns.Msg{}
	q.Id = id
	q.Question = []dns.Question{{Name: name, Qtype: dns.TypeSRV, Qclass: dns.ClassINET}}
	b, err := q.Pack()
	if err != nil {
		return nil // can't be: nothing in it varies but the id
	}
	if r.ids = append(r.ids, id); len(r.ids) > recent {
		r.ids = r.ids[1:]
	}
	r.Counts.Asked++
	return b
}

// What is wrong with answers that do not count.
var (
	ErrStray = errors.New("not an answer to a question of ours")
	ErrOld   = errors.New("an older list")
)

// Take takes a datagram. The list is nil where it says nothing new.
func (r *Roster) Take(from netip.AddrPort, b []byte) (*List, error) {
	l, err := r.read(from, b)
	switch {
	case errors.Is(err, ErrStray):
		r.Counts.Strays++
	case errors.Is(err, ErrOld):
		r.Counts.Old++
	case err != nil:
		r.Counts.Bad++
	default:
		r.Counts.Heard++
		if l != nil {
			r.no = l.No
		}
	}
	return l, err
}

func (r *Roster) read(from netip.AddrPort, b []byte) (*List, error) {
	if from != r.Server || len(b) > most {
		return nil, ErrStray
	}
	m := &dns.Msg{}
	if err := m.Unpack(b); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	if !m.Response || !slices.Contains(r.ids, m.Id) || len(m.Question) != 1 ||
		!strings.EqualFold(m.Question[0].Name, name) || m.Question[0].Qtype != dns.TypeSRV {
		return nil, ErrStray
	}
	if m.Truncated || m.Rcode != dns.RcodeSuccess {
		return nil, fmt.Errorf("answer: truncated %v, code %d", m.Truncated, m.Rcode)
	}
	l := &List{Whole: true}
	numbered := false
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			l.No, numbered = s.Serial, true
		}
	}
	switch {
	case !numbered:
		return nil, errors.New("answer: no SOA record")
	case l.No < r.no:
		return nil, ErrOld
	case l.No == r.no:
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
		if !ok || !strings.EqualFold(s.Hdr.Name, name) {
			continue
		}
		host := strings.ToLower(s.Target)
		id, _, _ := strings.Cut(host, ".")
		a, ok := addrs[host]
		t, ok2 := texts[host]
		if !ok || !ok2 || id == "" {
			return nil, fmt.Errorf("answer: %s: no address or text", host)
		}
		x := Target{ID: id, Addr: netip.AddrPortFrom(a, s.Port), State: routing.Ready, Cell: -1}
		if s.Priority != 0 {
			x.State = routing.Draining
		}
		for _, kv := range t {
			k, v, _ := strings.Cut(kv, "=")
			var err error
			switch k {
			case "cell":
				x.Cell, err = strconv.Atoi(v)
			case "started":
				x.Started, err = strconv.ParseFloat(v, 64)
			}
			if err != nil {
				return nil, fmt.Errorf("answer: %s: %q", host, kv)
			}
		}
		l.Targets = append(l.Targets, x)
	}
	return l, nil
}
