package scenario

import (
	"math"
	"sort"

	"cobaltpier/internal/emulator/callers"
)

// Service is how a day went by the users' account: the value of calls that were established in time and were not cut,
// over the value offered, a caller's further tries counted with its first. Of simulated switches.
type Service struct {
	Total, Worst10s                   float64
	WorstClass, WorstTenant           string // the worst served
	ClassShare, TenantShare           float64
	Arrived                           int
	Answered, Late, Dropped, Unserved int
	Extra                             int       // final answers after a final answer, as callers saw them
	Waits                             []float64 // of those that stood, ms, sorted
	Fell                              int
}

// Service adds a day up.
func (st *Scenario) Service() Service {
	sum := serviceSum{classes: valueByName{}, tenants: valueByName{}, windows: map[int]*serviceValue{}}
	for _, g := range st.Gateways {
		sum.Extra += g.Callers.Extra
		for _, record := range g.Callers.Records {
			if !record.OverQuota {
				sum.add(record)
			}
		}
	}
	sort.Float64s(sum.Waits)
	sum.Total = sum.whole.share()
	sum.WorstClass, sum.ClassShare = sum.classes.worst()
	sum.WorstTenant, sum.TenantShare = sum.tenants.worst()
	sum.Worst10s = 1
	for second, w := range sum.windows {
		if float64(second+windowSeconds)*1000 <= st.Script.Length {
			sum.Worst10s = math.Min(sum.Worst10s, w.share())
		}
	}
	for _, p := range st.endpoints {
		if p.coreSwitch.Overloaded {
			sum.Fell++
		}
	}
	return sum.Service
}

// windowSeconds is the length of the windows of which the worst is told.
const windowSeconds = 10

// serviceValue is what calls were worth: as they were served, and at most.
type serviceValue struct{ achieved, offered float64 }

func (w *serviceValue) add(achieved, offered float64) {
	w.achieved += achieved
	w.offered += offered
}

func (w *serviceValue) share() float64 {
	if w.offered == 0 {
		return 1
	}
	return w.achieved / w.offered
}

// valueByName are by name of a class or tenant.
type valueByName map[string]*serviceValue

func (m valueByName) add(name string, achieved, offered float64) {
	if m[name] == nil {
		m[name] = &serviceValue{}
	}
	m[name].add(achieved, offered)
}

// worst returns the least share, and whose it is; of equals the first by name.
func (m valueByName) worst() (name string, least float64) {
	least = 2
	for k, w := range m {
		if share := w.share(); share < least || share == least && k < name {
			name, least = k, share
		}
	}
	return name, least
}

// serviceSum is a Service that is being added up.
type serviceSum struct {
	Service
	whole            serviceValue
	classes, tenants valueByName
	windows          map[int]*serviceValue // by the second that they begin with
}

// add adds one call.
func (sum *serviceSum) add(record *callers.CallerRecord) {
	sum.Arrived++
	achieved := sum.count(record)
	sum.whole.add(achieved, record.Weight)
	sum.classes.add(record.Class, achieved, record.Weight)
	sum.tenants.add(record.Tenant, achieved, record.Weight)
	second := int(record.At / 1000)
	for k := second; k > second-windowSeconds && k >= 0; k-- { // every window that holds it
		if sum.windows[k] == nil {
			sum.windows[k] = &serviceValue{}
		}
		sum.windows[k].add(achieved, record.Weight)
	}
}

// count counts a call by how it ended, and returns what it was worth.
func (sum *serviceSum) count(record *callers.CallerRecord) float64 {
	if math.IsNaN(record.AnsweredAt) {
		sum.Unserved++
		return 0
	}
	wait := record.AnsweredAt - record.At
	sum.Waits = append(sum.Waits, wait)
	switch {
	case record.Dropped:
		sum.Dropped++
		return 0
	case wait <= record.LatencyObjective:
		sum.Answered++
		return record.Weight
	default:
		sum.Late++
		return record.Weight * record.LateWeightFraction
	}
}
