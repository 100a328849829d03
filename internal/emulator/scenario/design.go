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
		if n, ok := s.pools[d.From]; ok {
			for f := range strings.SplitSeq(siptransaction.HeaderValue(m, siptransaction.Load), ";") {
				if v, is := strings.CutPrefix(f, "util="); is {
					if s.util[d.To] == nil {
						s.util[d.To] = map[int]float64{}
					}
					s.util[d.To][n], _ = strconv.ParseFloat(v, 64)
				}
			}
		}
	case *sip.Request:
		if m.Method != sip.INVITE {
			return
		}
		to, trunk := s.pools[d.To]
		id := siptransaction.SessionIDOf(m)
		if !trunk {
			_, group, _ := strings.Cut(m.Recipient.User, "tgrp=TG-")
			n, _, _ := strings.Cut(group, ";")
			if k, err := strconv.Atoi(n); err == nil {
				s.homes[id] = k
			}
			return
		}
		home, first := s.homes[id]
		if !first || r.At < 1000 {
			return
		}
		delete(s.homes, id) // later attempts and repeats don't count
		if home != s.away {
			s.First++
			if to == home {
				s.Home++
			}
			return
		}
		total, tickets := 0.0, make([]float64, len(s.Drawn))
		for i := range tickets {
			if i != s.away {
				free := 1.0
				if u, ok := s.util[d.From][i]; ok {
					free = 1 - u
				}
				tickets[i] = (s.lines[i] - 3*math.Sqrt(s.lines[i])) * free * free
				total += tickets[i]
			}
		}
		s.Drawn[to]++
		for i, t := range tickets {
			p := t / total
			s.Expected[i] += p
			s.Variance[i] += p * (1 - p)
		}
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
