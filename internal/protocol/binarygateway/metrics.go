package binarygateway

import "cobaltpier/internal/protocol/delivery"

// Metrics are counters since the start of the gateway, as written to its log.
type Metrics struct {
	// client connections
	Accepted        uint64 `json:"accepted"`         // connections
	Evicted         uint64 `json:"evicted"`          // closed because too many were open
	IdleClosed      uint64 `json:"idle_closed"`      // closed because they were idle
	Malformed       uint64 `json:"malformed"`        // closed because of a message that could not be decoded
	InvalidRequests uint64 `json:"invalid_requests"` // well-formed messages with invalid content
	Duplicates      uint64 `json:"duplicates"`       // setups or answers under an ID that is in use

	LargeSetupsShed uint64 `json:"large_setups_shed"` // rejected because large setups took too much memory

	// ChecksFailedAtOnce counts health checks that failed because too many others waited until the gateway was ready.
	ChecksFailedAtOnce uint64 `json:"checks_failed_at_once"`

	// connections to endpoints
	Dialed             uint64 `json:"dialed"`
	Connected          uint64 `json:"connected"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	ConnectTimeouts    uint64 `json:"connect_timeouts"`
	ConnectionsLost    uint64 `json:"connections_lost"`    // lost after they were established
	ProtocolErrors     uint64 `json:"protocol_errors"`     // messages that could not be decoded or used
	IncompleteMessages uint64 `json:"incomplete_messages"` // connections closed because a message remained incomplete
	Withdrawn          uint64 `json:"withdrawn"`           // setups withdrawn before they were sent
	BlockedSetups      uint64 `json:"blocked_setups"`      // given up in a blocked write; their connections were closed
	UnmatchedAnswers   uint64 `json:"unmatched_answers"`   // answers that match no setup of this gateway

	UnmatchedReleases uint64 `json:"unmatched_releases"`  // releases by endpoints of calls that are unknown here
	EndedCallsDropped uint64 `json:"ended_calls_dropped"` // ended calls that were forgotten early, beyond the limit

	// established calls
	CallsCut         uint64 `json:"calls_cut"`
	CallsResumed     uint64 `json:"calls_resumed"`     // taken over from an earlier process
	ResumesRefused   uint64 `json:"resumes_refused"`   // released at once: too many are taken over
	CallsHandedOver  uint64 `json:"calls_handed_over"` // from a gone endpoint to the one that took over its address
	LateAnswers      uint64 `json:"late_answers"`      // answers that crossed a cancel
	EndpointsDead    uint64 `json:"endpoints_dead"`
	ReleasesByCaller uint64 `json:"releases_by_caller"`

	// releases that were owed to clients and to endpoints
	ClientReleases   delivery.Counts `json:"client_releases"`
	EndpointReleases delivery.Counts `json:"endpoint_releases"`
}

// OpenCounts are the numbers of objects that a gateway holds.
type OpenCounts struct {
	Calls       int `json:"calls"`
	Upstreams   int `json:"upstreams"`
	Clients     int `json:"clients"`
	ClientConns int `json:"client_conns"`
	Timers      int `json:"timers"`

	// connections to endpoints
	UpstreamConns     int     `json:"upstream_conns"`
	IncompleteConns   int     `json:"incomplete_conns"`   // a message of the endpoint has begun there and is incomplete
	LongestIncomplete float64 `json:"longest_incomplete"` // ms since the first of these messages began
}

// OpenCounts returns the numbers of objects that the gateway holds now.
func (g *Gateway) OpenCounts() OpenCounts {
	counts := OpenCounts{
		Calls:       len(g.calls),
		Upstreams:   len(g.upstreams),
		Clients:     len(g.clients),
		ClientConns: len(g.clientConns),
		Timers:      g.Timers.Len(),
	}
	for _, u := range g.upstreams {
		counts.UpstreamConns += len(u.conns)
		for _, conn := range u.conns {
			if conn.reader.Partial() {
				counts.IncompleteConns++
				counts.LongestIncomplete = max(counts.LongestIncomplete, g.Now-conn.partialSince)
			}
		}
	}
	return counts
}

// RememberedCounts returns how many ended calls the gateway remembers: those that were canceled, and those that ended
// at an endpoint.
func (g *Gateway) RememberedCounts() (canceled, ended int) {
	for _, u := range g.upstreams {
		canceled += len(u.canceled)
		ended += u.ended.len()
	}
	return canceled, ended
}

// EstablishedCalls returns the number of established calls, including resumed ones.
func (g *Gateway) EstablishedCalls() int {
	_, established := g.InProgress()
	return established + g.resumed.count
}

// ClientConns returns how many client connections are open, and how many of them have unsent data.
func (g *Gateway) ClientConns() (unsent, open int) {
	for _, conn := range g.clientConns {
		if state := conn.state(); state.HasUnsentData {
			unsent++
		}
	}
	return unsent, len(g.clientConns)
}

// Overflows are counters of what was given up because a limit was reached.
type Overflows struct {
	ClientReleases   uint64 `json:"client_releases"`   // given up, the oldest of the client with the most first
	EndpointReleases uint64 `json:"endpoint_releases"` // given up, the oldest first
	EndedCalls       uint64 `json:"ended_calls"`       // forgotten early, the oldest first
	HealthChecks     uint64 `json:"health_checks"`     // failed at once, the newest
	ResumedCalls     uint64 `json:"resumed_calls"`     // released, the newest
}

// Overflows returns these counters.
func (g *Gateway) Overflows() Overflows {
	return Overflows{
		ClientReleases:   g.Metrics.ClientReleases.Overflowed,
		EndpointReleases: g.Metrics.EndpointReleases.Overflowed,
		EndedCalls:       g.Metrics.EndedCallsDropped,
		HealthChecks:     g.Metrics.ChecksFailedAtOnce,
		ResumedCalls:     g.Metrics.ResumesRefused,
	}
}
