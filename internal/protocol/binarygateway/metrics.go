package binarygateway

// Metrics are counters since the start of the gateway, as written to its log.
type Metrics struct {
	// client connections
	Accepted        uint64 `json:"accepted"`         // connections
	Evicted         uint64 `json:"evicted"`          // closed because too many were open
	IdleClosed      uint64 `json:"idle_closed"`      // closed because they were idle
	Malformed       uint64 `json:"malformed"`        // closed because of a message that could not be decoded
	InvalidRequests uint64 `json:"invalid_requests"` // well-formed messages with invalid content
	Duplicates      uint64 `json:"duplicates"`       // setups or answers under an ID that is in use

	// connections to endpoints
	Dialed             uint64 `json:"dialed"`
	Connected          uint64 `json:"connected"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	ConnectTimeouts    uint64 `json:"connect_timeouts"`
	ConnectionsLost    uint64 `json:"connections_lost"`    // lost after they were established
	ProtocolErrors     uint64 `json:"protocol_errors"`     // messages that could not be decoded or used
	IncompleteMessages uint64 `json:"incomplete_messages"` // connections closed because a message remained incomplete
	Withdrawn          uint64 `json:"withdrawn"`           // setups withdrawn before they were sent
	UnmatchedAnswers   uint64 `json:"unmatched_answers"`   // answers that match no setup of this gateway

	UnmatchedReleases uint64 `json:"unmatched_releases"`  // releases by endpoints of calls that are unknown here
	EndedCallsDropped uint64 `json:"ended_calls_dropped"` // ended calls that were forgotten early, beyond the limit

	// established calls
	CallsCut         uint64 `json:"calls_cut"`
	CallsResumed     uint64 `json:"calls_resumed"`     // taken over from an earlier process
	ReleasesDeferred uint64 `json:"releases_deferred"` // releases that had to wait for a client connection
	ReleasesDropped  uint64 `json:"releases_dropped"`  // their clients did not reconnect in time, or too many wait
	LateAnswers      uint64 `json:"late_answers"`      // answers that crossed a cancel
	EndpointsDead    uint64 `json:"endpoints_dead"`
	ReleasesByCaller uint64 `json:"releases_by_caller"`

	// releases towards endpoints that had to wait for a connection, and those of them that were dropped
	EndpointReleasesDeferred uint64 `json:"endpoint_releases_deferred"`
	EndpointReleasesDropped  uint64 `json:"endpoint_releases_dropped"`
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
	return established + g.resumedCalls
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
