package binarygateway

import (
	"maps"

	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

// OnEndpointList applies an endpoint list at once (rule 3). Setups that wait here for a draining or gone endpoint
// are withdrawn. When an endpoint is gone, its connections are closed and its calls end. A new ID means a new
// endpoint, even at a known address.
func (g *Gateway) OnEndpointList(now float64, list *dnsdiscovery.List) {
	g.Now = now
	changed := g.Endpoints.Apply(g.endpointEntries(list), list.Complete)
	for _, listed := range list.Entries {
		g.updateUpstream(listed)
	}
	for _, endpoint := range changed {
		g.applyEndpointState(endpoint)
	}
	g.Router.OnEndpoints(now, changed)
	for _, endpoint := range changed {
		if u := g.upstreams[endpoint]; u != nil {
			u.maintainConns()
		} else {
			g.Endpoints.Remove(endpoint)
		}
	}
}

func (g *Gateway) endpointEntries(list *dnsdiscovery.List) []endpointset.Entry[string] {
	entries := make([]endpointset.Entry[string], len(list.Entries))
	for i, listed := range list.Entries {
		entry := endpointset.Entry[string]{ID: listed.ID, DestinationID: listed.DestinationID, State: listed.State}
		if listed.StartedAt > 0 {
			entry.StartedAt = g.config.FromUnixMillis(listed.StartedAt)
		}
		known := g.Endpoints.ByID(listed.ID)
		if known != nil && listed.State == routing.Gone && entry.DestinationID < 0 {
			entry.DestinationID = known.DestinationID // lists may omit it for a gone endpoint
		}
		entries[i] = entry
	}
	return entries
}

// updateUpstream creates the upstream of a new endpoint and applies a changed address.
func (g *Gateway) updateUpstream(listed dnsdiscovery.Entry) {
	endpoint := g.Endpoints.ByID(listed.ID)
	if endpoint.State == routing.Gone {
		return
	}
	existing := g.upstreams[endpoint]
	switch {
	case existing == nil:
		g.upstreams[endpoint] = newUpstream(g, endpoint, listed.Addr)
	case listed.Addr.IsValid() && existing.address != listed.Addr:
		existing.changeAddress(listed.Addr)
	}
}

func (g *Gateway) applyEndpointState(endpoint *routing.Endpoint) {
	u := g.upstreams[endpoint]
	if u == nil {
		return
	}
	if endpoint.State != routing.Ready {
		u.withdrawUnsent()
	}
	switch {
	case endpoint.State == routing.Gone:
		if successor := g.successorOf(u); successor != nil {
			u.handOver(successor)
		}
		u.closeAll()
		delete(g.upstreams, endpoint)
	case endpoint.StartedAt > u.startedAt:
		u.onRestart(endpoint.StartedAt)
	}
}

// successorOf returns the upstream of the endpoint that has taken over the address of a gone one, or nil if there is
// none or its start is not known.
func (g *Gateway) successorOf(gone *upstream) *upstream {
	for _, u := range g.sortedUpstreams() {
		if u != gone && u.address == gone.address && u.endpoint.State != routing.Gone && u.endpoint.StartedAt > 0 {
			return u
		}
	}
	return nil
}

// handOver passes to a successor at the same address what belongs to it. Until the list told of it, connections to its
// process counted as connections to the gone endpoint: the calls that were set up on them go on there, and it is owed
// the releases.
func (u *upstream) handOver(successor *upstream) {
	startedAt := successor.endpoint.StartedAt - restartClockTolerance
	for id, call := range u.established {
		if call.endpointUpSince >= startedAt {
			delete(u.established, id)
			successor.established[id] = call
			call.upstream, call.upstreamConn = successor, nil
			u.gateway.Metrics.CallsHandedOver++
		}
	}
	maps.Copy(successor.canceled, u.canceled)
	for _, conn := range u.conns {
		for _, release := range u.outbox.ConnEnded(conn, u.gateway.Now) {
			successor.deliverAgain(release)
		}
	}
	for _, release := range u.outbox.TakeWaiting() {
		successor.deliverAgain(release)
	}
}
