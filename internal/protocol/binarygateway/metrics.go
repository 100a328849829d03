package binarygateway

// Metrics are counts since the start of the gateway, as they stand in its log.
type Metrics struct {
	// client connections
	Accepted        uint64 `json:"accepted"`         // connections
	Evicted         uint64 `json:"evicted"`          // closed because too many were open
	IdleClosed      uint64 `json:"idle_closed"`      // closed because they carried nothing
	Malformed       uint64 `json:"malformed"`        // closed because a message could not be read
	InvalidRequests uint64 `json:"invalid_requests"` // well-formed messages that make no sense
	Duplicates      uint64 `json:"duplicates"`       // setups or answers under an ID that is in use

	// connections to endpoints
	Dialed             uint64 `json:"dialed"`
	Connected          uint64 `json:"connected"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	ConnectTimeouts    uint64 `json:"connect_timeouts"`
	ConnectionsLost    uint64 `json:"connections_lost"`  // that were up
	ProtocolErrors     uint64 `json:"protocol_errors"`   // messages that could not be read or used
	Withdrawn          uint64 `json:"withdrawn"`         // setups taken back before they were sent
	UnmatchedAnswers   uint64 `json:"unmatched_answers"` // answers to no setup of this gateway

	// established calls
	CallsCut         uint64 `json:"calls_cut"`
	CallsResumed     uint64 `json:"calls_resumed"`     // taken over from an earlier process
	ReleasesDeferred uint64 `json:"releases_deferred"` // that wait for their client to connect
	ReleasesDropped  uint64 `json:"releases_dropped"`  // whose client did not
	LateAnswers      uint64 `json:"late_answers"`      // that crossed a cancel
	EndpointsDead    uint64 `json:"endpoints_dead"`
	ReleasesByCaller uint64 `json:"releases_by_caller"`
}

// OpenCounts is how much a gateway holds.
type OpenCounts struct {
	Calls       int `json:"calls"`
	Upstreams   int `json:"upstreams"`
	Clients     int `json:"clients"`
	ClientConns int `json:"client_conns"`
	Timers      int `json:"timers"`
}

// OpenCounts is how much the gateway holds now.
func (g *Gateway) OpenCounts() OpenCounts {
	return OpenCounts{
		Calls:       len(g.calls),
		Upstreams:   len(g.upstreams),
		Clients:     len(g.clients),
		ClientConns: len(g.clientConns),
		Timers:      g.Timers.Len(),
	}
}

// RememberedCounts is how many calls that are over here are remembered: those that were canceled, and those that ended
// at an endpoint and are unknown here.
func (g *Gateway) RememberedCounts() (canceled, unmatchedReleases int) {
	for _, u := range g.upstreams {
		canceled += len(u.canceled)
		unmatchedReleases += len(u.unmatchedReleases)
	}
	return canceled, unmatchedReleases
}

// EstablishedCalls is how many calls are established, resumed ones included.
func (g *Gateway) EstablishedCalls() int {
	_, established := g.InProgress()
	return established + g.resumedCalls
}

// ClientConns is how many client connections are open, and how many of them have data that was not sent.
func (g *Gateway) ClientConns() (unsent, open int) {
	for _, conn := range g.clientConns {
		if state := conn.state(); state.HasUnsentData {
			unsent++
		}
	}
	return unsent, len(g.clientConns)
}
