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

// Shares compares the captured traffic with the design (S2-082110): first attempts go to the destination; if the
// destination takes no calls, an endpoint is drawn with a weight of its total capacity times the square of its
// unused fraction, computed from the load reports that the gateway had received when it sent the attempt.
type Shares struct {
	AtDestination, FirstAttempts int       // of calls whose destination is not draining: sent to it, and in all
	Drawn                        []int     // first attempts of calls whose destination drains, by endpoint
	Expected                     []float64 // expected value of Drawn by the formula
	Variance                     []float64
	destinations                 map[string]int             // by session ID
	util                         map[string]map[int]float64 // reported utilization, by gateway and endpoint
	endpoints                    map[string]int             // by address
	lines                        []float64
	draining                     int // number of the draining endpoint, -1: none
}

// NewShares returns the Shares of a scenario in which one endpoint drains from the start, -1: none.
func NewShares(st *Scenario, draining int) *Shares {
	s := &Shares{
		destinations: map[string]int{},
		util:         map[string]map[int]float64{},
		endpoints:    map[string]int{},
		draining:     draining,
		Drawn:        make([]int, len(st.endpoints)),
		Expected:     make([]float64, len(st.endpoints)),
		Variance:     make([]float64, len(st.endpoints)),
	}
	for _, p := range st.endpoints {
		s.endpoints[p.addr.String()] = p.number
		s.lines = append(s.lines, float64(p.model.Lines))
	}
	return s
}

// Drain puts an endpoint on the list as draining, without a replacement.
func (st *Scenario) Drain(number int) {
	p := st.endpoints[number]
	p.state = api.State_DRAINING
	for i, m := range st.members {
		if m.Id == p.id {
			st.members[i] = p.member()
		}
	}
}

// Add processes the next record of the capture. Attempts of the first second are not counted.
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
		if endpoint, ok := s.endpoints[d.From]; ok {
			s.addLoad(endpoint, d.To, m)
		}
	case *sip.Request:
		if m.Method == sip.INVITE {
			s.addInvite(r.At, d, m)
		}
	}
}

// addLoad stores the utilization that an endpoint reports to a gateway.
func (s *Shares) addLoad(endpoint int, gateway string, m *sip.Response) {
	for field := range strings.SplitSeq(siptransaction.HeaderValue(m, siptransaction.LoadHeader), ";") {
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

// addInvite processes a call from a client or an attempt at an endpoint; only the first attempt of a call is
// counted.
func (s *Shares) addInvite(at float64, d *api.Datagram, m *sip.Request) {
	session := siptransaction.SessionIDOf(m)
	endpoint, isAttempt := s.endpoints[d.To]
	if !isAttempt {
		if destination, ok := destinationOf(m); ok {
			s.destinations[session] = destination
		}
		return
	}
	destination, isFirst := s.destinations[session]
	if !isFirst || at < 1000 {
		return
	}
	delete(s.destinations, session)
	if destination == s.draining {
		s.addDraw(endpoint, d.From)
		return
	}
	s.FirstAttempts++
	if endpoint == destination {
		s.AtDestination++
	}
}

// destinationOf returns the number of the trunk group named in a call.
func destinationOf(m *sip.Request) (destination int, ok bool) {
	_, group, _ := strings.Cut(m.Recipient.User, "tgrp=TG-")
	digits, _, _ := strings.Cut(group, ";")
	destination, err := strconv.Atoi(digits)
	return destination, err == nil
}

// addDraw counts a randomly chosen endpoint and adds the probabilities that the formula gives.
func (s *Shares) addDraw(endpoint int, gateway string) {
	total, weights := 0.0, make([]float64, len(s.Drawn))
	for i := range weights {
		if i == s.draining {
			continue
		}
		freeFraction := 1.0
		if used, ok := s.util[gateway][i]; ok {
			freeFraction = 1 - used
		}
		weights[i] = (s.lines[i] - 3*math.Sqrt(s.lines[i])) * freeFraction * freeFraction
		total += weights[i]
	}
	s.Drawn[endpoint]++
	for i, weight := range weights {
		p := weight / total
		s.Expected[i] += p
		s.Variance[i] += p * (1 - p)
	}
}

// Deviation returns the largest deviation of an endpoint's draws from the formula, in standard deviations.
func (s *Shares) Deviation() (largest float64) {
	for i, n := range s.Drawn {
		if s.Variance[i] > 0 {
			largest = math.Max(largest, math.Abs(float64(n)-s.Expected[i])/math.Sqrt(s.Variance[i]))
		}
	}
	return largest
}

func (s *Shares) String() string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"first rings at the destination: %d of %d, %.3f\n",
		s.AtDestination,
		s.FirstAttempts,
		float64(s.AtDestination)/math.Max(1, float64(s.FirstAttempts)),
	)
	for i, n := range s.Drawn {
		if s.Variance[i] > 0 {
			fmt.Fprintf(&b, "pool %d: drawn %d, by the formula %.1f, %+.1f standard deviations\n", i, n, s.Expected[i],
				(float64(n)-s.Expected[i])/math.Sqrt(s.Variance[i]))
		}
	}
	return b.String()
}
