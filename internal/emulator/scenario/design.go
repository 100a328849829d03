package scenario

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/api"
	"cobaltpier/internal/protocol/siptransaction"
)

// Shares compares what the wire shows with the design (S2-082110): first attempts go to the destination; of calls whose
// destination takes nothing, endpoints are drawn with tickets of total capacity times the square of relative capacity.
// The latter is computed from the load reports that each gateway had received when it sent.
type Shares struct {
	Home, First int       // first attempts at the destination, and all whose destination was there
	Drawn       []int     // by endpoint, of calls whose destination drains
	Expected    []float64 // by the formula
	Variance    []float64
	homes       map[string]int             // by session
	util        map[string]map[int]float64 // by gateway and endpoint
	pools       map[string]int             // by address
	lines       []float64
	away        int // the endpoint that drains, -1: none
}

// NewShares follows a stage whose endpoint away drains from the start, -1: none.
func NewShares(st *Scenario, away int) *Shares {
	s := &Shares{
		homes:    map[string]int{},
		util:     map[string]map[int]float64{},
		pools:    map[string]int{},
		away:     away,
		Drawn:    make([]int, len(st.places)),
		Expected: make([]float64, len(st.places)),
		Variance: make([]float64, len(st.places)),
	}
	for _, p := range st.places {
		s.pools[p.addr.String()] = p.number
		s.lines = append(s.lines, float64(p.model.Lines))
	}
	return s
}

// Drain puts an endpoint on the list as draining, without a replacement.
func (st *Scenario) Drain(pool int) {
	p := st.places[pool]
	p.state = api.State_DRAINING
	for i, m := range st.machines {
		if m.Id == p.id {
			st.machines[i] = p.member()
		}
	}
}

// Add takes the next record of the capture; the first second does not count.
func (s *Shares) Add(r *api.Record) {
	d := r.GetDatagram()
	if d == nil {
		return
	}
	m, err := siptransaction.Parse(d.Data)
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *sip.Response:
		if endpoint, ok := s.pools[d.From]; ok {
			s.addLoad(endpoint, d.To, m)
		}
	case *sip.Request:
		if m.Method == sip.INVITE {
			s.addInvite(r.At, d, m)
		}
	}
}

// addLoad takes the utilization that an endpoint reports to a gateway.
func (s *Shares) addLoad(endpoint int, gateway string, m *sip.Response) {
	for field := range strings.SplitSeq(siptransaction.HeaderValue(m, siptransaction.Load), ";") {
		value, ok := strings.CutPrefix(field, "util=")
		if !ok {
			continue
		}
		if s.util[gateway] == nil {
			s.util[gateway] = map[int]float64{}
		}
		s.util[gateway][endpoint], _ = strconv.ParseFloat(value, 64)
	}
}

// addInvite takes a call from a client, or its first attempt at an endpoint; later attempts don't count.
func (s *Shares) addInvite(at float64, d *api.Datagram, m *sip.Request) {
	session := siptransaction.SessionIDOf(m)
	endpoint, isAttempt := s.pools[d.To]
	if !isAttempt {
		if home, ok := homeOf(m); ok {
			s.homes[session] = home
		}
		return
	}
	home, isFirst := s.homes[session]
	if !isFirst || at < 1000 {
		return
	}
	delete(s.homes, session)
	if home == s.away {
		s.addDraw(endpoint, d.From)
		return
	}
	s.First++
	if endpoint == home {
		s.Home++
	}
}

// homeOf returns the number of the trunk group that a call names.
func homeOf(m *sip.Request) (home int, ok bool) {
	_, group, _ := strings.Cut(m.Recipient.User, "tgrp=TG-")
	digits, _, _ := strings.Cut(group, ";")
	home, err := strconv.Atoi(digits)
	return home, err == nil
}

// addDraw counts a draw of the lottery, and what the formula expects of it.
func (s *Shares) addDraw(endpoint int, gateway string) {
	total, tickets := 0.0, make([]float64, len(s.Drawn))
	for i := range tickets {
		if i == s.away {
			continue
		}
		free := 1.0
		if used, ok := s.util[gateway][i]; ok {
			free = 1 - used
		}
		tickets[i] = (s.lines[i] - 3*math.Sqrt(s.lines[i])) * free * free
		total += tickets[i]
	}
	s.Drawn[endpoint]++
	for i, t := range tickets {
		p := t / total
		s.Expected[i] += p
		s.Variance[i] += p * (1 - p)
	}
}

// Deviation is the largest distance of an endpoint's draws from the formula, in standard deviations.
func (s *Shares) Deviation() (most float64) {
	for i, n := range s.Drawn {
		if s.Variance[i] > 0 {
			most = math.Max(most, math.Abs(float64(n)-s.Expected[i])/math.Sqrt(s.Variance[i]))
		}
	}
	return most
}

func (s *Shares) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"first rings at the destination: %d of %d, %.3f\n",
		s.Home,
		s.First,
		float64(s.Home)/math.Max(1, float64(s.First)),
	)
	for i, n := range s.Drawn {
		if s.Variance[i] > 0 {
			fmt.Fprintf(&b, "pool %d: drawn %d, by the formula %.1f, %+.1f standard deviations\n", i, n, s.Expected[i],
				(float64(n)-s.Expected[i])/math.Sqrt(s.Variance[i]))
		}
	}
	return b.String()
}
