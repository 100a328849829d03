package routing

import "math"

// State is the state of an endpoint on the endpoint list.
type State int

// The states of an endpoint.
const (
	Gone State = iota
	Ready
	Draining
)

// Endpoint is a group of agents behind one processor that takes calls.
type Endpoint struct {
	DestinationID int // identifies the destination of calls; a replacement has the same
	State         State
	StartedAt     float64    // latest start; 0: long ago
	LoadReport    LoadReport // the latest one
	PolicyState   any        // private to the policy
}

// LoadReport is the load that an endpoint reports.
type LoadReport struct {
	Capacity     float64 // total number of agents
	Free         float64 // free agents
	Utilization  float64 // busy share of the processor, 0 to 1
	QueueLength  float64 // setups that wait for the processor
	QueueDelay   float64 // ms that a setup waits for the processor
	RateLimit    float64 // setups a second that it accepts from all gateways together
	LossFraction float64 // share of setups that it asks each gateway not to send, 0 to 1
}

// UnknownLoad returns a load report in which no value is known.
func UnknownLoad() LoadReport {
	unknown := math.NaN()
	return LoadReport{
		Capacity:     unknown,
		Free:         unknown,
		Utilization:  unknown,
		QueueLength:  unknown,
		QueueDelay:   unknown,
		RateLimit:    unknown,
		LossFraction: unknown,
	}
}
