// Package virtualrun runs scenarios in virtual time and measures them. It uses the same gateway and switch code
// as runs over real sockets, with any number of gateways; the same seed gives the same run. ForEach executes
// independent runs in parallel, one per core.
package virtualrun

//tally:standin

import (
	"context"
	"math"
	"runtime"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/baseline"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/protocol/dnsclient"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// SettleTime is how long a run goes on after the scenario's length, in ms, so that calls in progress can finish.
// With the default timeout of 9 s each call that arrived before the end has an answer or has timed out by then;
// with longer timeouts, and for redials and answered calls, that isn't certain.
const SettleTime = 12000.0

// PolicyByName returns the factory of a routing policy by its name: "brain" or "" is the policy of package
// router, other names are baselines; nil if unknown.
func PolicyByName(name string) routing.PolicyFactory {
	if name == "" || name == "brain" {
		return func(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) }
	}
	return baseline.ByName(name)
}

// Options selects what a run measures and who gets its capture.
type Options struct {
	Series   bool              // fill Result.Series, for plots
	Checksum bool              // compute Result.Checksum, an FNV-1a-like hash of the whole capture, from 0
	Record   func(*api.Record) // gets each record of the capture; may be nil
}

// Result is the result of a run.
type Result struct {
	Service       scenario.Service
	Findings      []conformance.Finding
	Totals        conformance.Totals
	Series        *Series
	Tables        *conformance.TableChecker // nil: no number tables
	NumberLookups dnsclient.Counts
	ENUM          scenario.ENUMService
	Checksum      uint64
	Elapsed       time.Duration // wall-clock time
}

// Series holds the values of a run by second.
type Series struct {
	Seconds int
	// Service is the weight of the calls that were answered within their latency objective and not dropped, divided by
	// the weight of all calls that arrived in that second; NaN: none arrived. Calls over their tenant's quota are left
	// out here, in Arrivals and in P50 and P95.
	Service  []float64
	Arrivals []float64 // number of calls that arrived
	P50, P95 []float64 // median and 95th percentile of the time to answer, in ms, by arrival; NaN: no call answered
	// Attempts holds the INVITE datagrams to each switch, by its name; retransmissions and lost datagrams count too.
	Attempts map[string][]float64
	// Outcomes holds the final responses to INVITE of the switches, by outcome. Retransmitted responses count again;
	// status codes that outcomeNames doesn't have aren't counted.
	Outcomes  map[string][]float64
	SlowStart []conformance.SlowStartSample
	Faults    []scenariofile.Fault
}

// Run runs a scenario and measures it.
func Run(s *scenariofile.Script, newPolicy routing.PolicyFactory, options Options) *Result {
	begin := time.Now()
	checker := conformance.New()
	checker.KeepSlowStart = options.Series
	var tables *conformance.TableChecker
	if s.AnalysesNumbers() {
		tables = conformance.NewTableChecker(scenario.TablePrefix)
	}
	res := &Result{}
	var series *seriesTap
	if options.Series {
		series = newSeriesTap(s)
	}
	st := scenario.New(s, 5060, func(r *api.Record) {
		checker.Add(r)
		if tables != nil {
			tables.Add(r)
		}
		if series != nil {
			series.add(r)
		}
		if options.Checksum {
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
			if err == nil {
				for _, c := range b {
					res.Checksum = (res.Checksum ^ uint64(c)) * 1099511628211
				}
			}
		}
		if options.Record != nil {
			options.Record(r)
		}
	})
	checker.Parse = st.Parse
	if tables != nil {
		tables.Parse = st.Parse
	}
	if tables != nil {
		st.OnCallEnd = func(gateway int, f b2bua.CallRecord) {
			tables.Record(st.Gateways[gateway].Name, f.SessionID, f.Table)
		}
	}
	v := scenario.NewVirtual(st, newPolicy)
	st.Simulation.Run(s.Length + SettleTime)
	checker.Finish()
	res.Service, res.Findings, res.Totals, res.Tables, res.NumberLookups, res.ENUM = st.Service(), checker.Findings,
		checker.Totals, tables, v.LookupCounts(), st.ENUMService()
	if series != nil {
		res.Series = series.finish(st, checker.SlowStartSamples)
	}
	res.Elapsed = time.Since(begin)
	return res
}

// ForEach calls do for 0 to n-1, with as many calls in parallel as there are cores, until ctx ends. It reports
// whether all were done.
func ForEach(ctx context.Context, n int, do func(i int)) bool {
	next := make(chan int)
	var wait sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				do(i)
			}
		}()
	}
	all := true
	for i := range n {
		select {
		case next <- i:
			continue
		case <-ctx.Done():
			all = false
		}
		break
	}
	close(next)
	wait.Wait()
	return all
}

// seriesTap computes the Series of a run from its capture and its call records.
type seriesTap struct {
	series *Series
	nodes  map[string]*api.Node
}

func newSeriesTap(s *scenariofile.Script) *seriesTap {
	n := int(math.Ceil(s.Length / 1000))
	return &seriesTap{
		series: &Series{Seconds: n, Attempts: map[string][]float64{}, Outcomes: map[string][]float64{}, Faults: s.Faults},
		nodes:  map[string]*api.Node{},
	}
}

// count adds 1 to the values of key in the second of the time at (ms).
func (t *seriesTap) count(m map[string][]float64, key string, at float64) {
	i := int(at / 1000)
	if i < 0 || i >= t.series.Seconds {
		return
	}
	if m[key] == nil {
		m[key] = make([]float64, t.series.Seconds)
	}
	m[key][i]++
}

// outcomeNames are the names of an attempt's outcome by the status code of the switch's response.
var outcomeNames = map[string]string{
	"200": "stood",
	"486": "no line",
	"487": "called off",
	"500": "failed",
	"503": "processor full",
	"600": "engaged",
}

// add counts the INVITEs and final responses in a record of the capture.
func (t *seriesTap) add(r *api.Record) {
	switch v := r.What.(type) {
	case *api.Record_Node:
		t.nodes[v.Node.Addr] = v.Node
	case *api.Record_Datagram:
		from, to := t.nodes[v.Datagram.From], t.nodes[v.Datagram.To]
		if from == nil || to == nil {
			return
		}
		text := string(v.Datagram.Data)
		switch {
		case to.Role == "switch" && strings.HasPrefix(text, "INVITE "):
			t.count(t.series.Attempts, to.Name, r.At)
		case from.Role == "switch" && strings.HasPrefix(text, "SIP/2.0 ") && len(text) > 11 && text[8] >= '2':
			if m, err := siptransaction.Parse(v.Datagram.Data); err == nil && m.CSeq().MethodName == "INVITE" {
				if name := outcomeNames[text[8:11]]; name != "" {
					t.count(t.series.Outcomes, name, r.At)
				}
			}
		}
	}
}

// finish computes the values that come from the call records, and returns the Series.
func (t *seriesTap) finish(st *scenario.Scenario, cold []conformance.SlowStartSample) *Series {
	s := t.series
	s.SlowStart = cold
	achieved, offered := make([]float64, s.Seconds), make([]float64, s.Seconds)
	waits := make([][]float64, s.Seconds)
	s.Arrivals = make([]float64, s.Seconds)
	for _, g := range st.Gateways {
		for _, record := range g.Callers.Records {
			i := int(record.At / 1000)
			if record.OverQuota || i >= s.Seconds {
				continue
			}
			s.Arrivals[i]++
			offered[i] += record.Weight
			if math.IsNaN(record.AnsweredAt) {
				continue
			}
			wait := record.AnsweredAt - record.At
			waits[i] = append(waits[i], wait)
			if !record.Dropped && wait <= record.LatencyObjective {
				achieved[i] += record.Weight
			}
		}
	}
	for i := range s.Seconds {
		share := math.NaN()
		if offered[i] > 0 {
			share = achieved[i] / offered[i]
		}
		s.Service = append(s.Service, share)
		s.P50 = append(s.P50, quantile(waits[i], 0.5))
		s.P95 = append(s.P95, quantile(waits[i], 0.95))
	}
	return s
}
