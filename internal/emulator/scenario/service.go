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
	sum := serviceSum{classes: weights{}, tenants: weights{}, windows: map[int]*weight{}}
	for _, g := range st.Gateways {
		sum.Extra += g.Callers.Extra
		for _, story := range g.Callers.Stories {
			if !story.OverQuota {
				sum.add(story)
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
	for _, p := range st.places {
		if p.sw.Fell {
			sum.Fell++
		}
	}
	return sum.Service
}

// windowSeconds is the length of the windows of which the worst is told.
const windowSeconds = 10

// weight is what calls were worth: as they were served, and at most.
type weight struct{ got, most float64 }

func (w *weight) add(got, most float64) {
	w.got += got
	w.most += most
}

func (w *weight) share() float64 {
	if w.most == 0 {
		return 1
	}
	return w.got / w.most
}

// weights are by name of a class or tenant.
type weights map[string]*weight

func (m weights) add(name string, got, most float64) {
	if m[name] == nil {
		m[name] = &weight{}
	}
	m[name].add(got, most)
}

// worst returns the least share, and whose it is; of equals the first by name.
func (m weights) worst() (name string, least float64) {
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
	whole            weight
	classes, tenants weights
	windows          map[int]*weight // by the second that they begin with
}

// add adds one call.
func (sum *serviceSum) add(story *callers.CallerRecord) {
	sum.Arrived++
	got := sum.count(story)
	sum.whole.add(got, story.Weight)
	sum.classes.add(story.Class, got, story.Weight)
	sum.tenants.add(story.Tenant, got, story.Weight)
	second := int(story.At / 1000)
	for k := second; k > second-windowSeconds && k >= 0; k-- { // every window that holds it
		if sum.windows[k] == nil {
			sum.windows[k] = &weight{}
		}
		sum.windows[k].add(got, story.Weight)
	}
}

// count counts a call by how it ended, and returns what it was worth.
func (sum *serviceSum) count(story *callers.CallerRecord) float64 {
	if math.IsNaN(story.AnsweredAt) {
		sum.Unserved++
		return 0
	}
	wait := story.AnsweredAt - story.At
	sum.Waits = append(sum.Waits, wait)
	switch {
	case story.Dropped:
		sum.Dropped++
		return 0
	case wait <= story.LatencyObjective:
		sum.Answered++
		return story.Weight
	default:
		sum.Late++
		return story.Weight * story.LateWeightFraction
	}
}
