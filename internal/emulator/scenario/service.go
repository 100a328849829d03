package scenario

import (
	"math"
	"sort"

	"cobaltpier/internal/emulator/callers"
)

// Service is the quality of service as seen by the callers: the weight of calls that were established in time and
// not dropped, divided by the offered weight. Redials count as one call with the first attempt. The switches are
// simulated.
type Service struct {
	Total, Worst10s                   float64
	WorstClass, WorstTenant           string // with the lowest share
	ClassShare, TenantShare           float64
	Arrived                           int
	Answered, Late, Dropped, Unserved int
	ExtraResponses                    int       // final responses after a final response, as seen by callers
	Waits                             []float64 // time to answer of the answered calls in ms, sorted
	OverloadedSwitches                int
}

// Service computes the service up to now.
func (st *Scenario) Service() Service {
	sum := serviceSum{classes: valueByName{}, tenants: valueByName{}, windows: map[int]*serviceValue{}}
	for _, g := range st.Gateways {
		sum.ExtraResponses += g.Callers.ExtraResponses
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
			sum.OverloadedSwitches++
		}
	}
	return sum.Service
}

// windowSeconds is the length of the windows behind Worst10s.
const windowSeconds = 10

// serviceValue is the weight that calls have achieved and the weight offered.
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

// valueByName holds values by name of a class or tenant.
type valueByName map[string]*serviceValue

func (m valueByName) add(name string, achieved, offered float64) {
	if m[name] == nil {
		m[name] = &serviceValue{}
	}
	m[name].add(achieved, offered)
}

// worst returns the lowest share and its name; of equal shares the first by name.
func (m valueByName) worst() (name string, least float64) {
	least = 2
	for k, w := range m {
		if share := w.share(); share < least || share == least && k < name {
			name, least = k, share
		}
	}
	return name, least
}

// serviceSum accumulates a Service.
type serviceSum struct {
	Service
	whole            serviceValue
	classes, tenants valueByName
	windows          map[int]*serviceValue // by the second in which they begin
}

// add adds one call.
func (sum *serviceSum) add(record *callers.CallerRecord) {
	sum.Arrived++
	achieved := sum.count(record)
	sum.whole.add(achieved, record.Weight)
	sum.classes.add(record.Class, achieved, record.Weight)
	sum.tenants.add(record.Tenant, achieved, record.Weight)
	second := int(record.At / 1000)
	for k := second; k > second-windowSeconds && k >= 0; k-- { // every window that contains the call
		if sum.windows[k] == nil {
			sum.windows[k] = &serviceValue{}
		}
		sum.windows[k].add(achieved, record.Weight)
	}
}

// count counts a call by its outcome and returns the weight that it achieved.
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
