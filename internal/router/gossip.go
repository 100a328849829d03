package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// A gossip message is pairs of bytes: a destination ID and the queueing delay seen there, in gossipDelayUnit.
const gossipPairSize = 2

// OnGossip takes another gateway's delays. What was heard here recently counts for more.
func (r *Router) OnGossip(now float64, _ int, data []byte) {
	r.setTime(now)
	for ; len(data) >= gossipPairSize; data = data[gossipPairSize:] {
		for _, endpoint := range r.destinations {
			state := stateOf(endpoint)
			if endpoint.DestinationID == int(data[0]) && r.now-state.updatedAt > gossipHoldDown {
				r.recordDelay(state, float64(data[1])*gossipDelayUnit)
			}
		}
	}
}

// sendGossip passes surprising delays on to a few gateways drawn at random. It guards against queues that
// grow faster than gateways that rarely hear of an endpoint could learn of alone. The router works without
// it.
func (r *Router) sendGossip() {
	if !r.settings.GossipEnabled || r.now < r.nextGossipAt || r.settings.Gateways < 2 {
		return
	}
	message := r.encodeGossip()
	if len(message) == 0 {
		return
	}
	r.nextGossipAt = r.now + gossipInterval
	for range gossipFanout {
		receiver := int(r.random() * float64(r.settings.Gateways))
		if receiver != r.settings.GatewayIndex {
			r.host.SendGossip(receiver, message)
		}
	}
}

func (r *Router) encodeGossip() []byte {
	var message []byte
	for _, endpoint := range r.destinations {
		state := stateOf(endpoint)
		if state.gossipDelay < 0 || endpoint.State != routing.Ready || endpoint.DestinationID > math.MaxUint8 {
			continue
		}
		delay := math.Min(math.MaxUint8, state.gossipDelay/gossipDelayUnit)
		message = append(message, byte(endpoint.DestinationID), byte(delay))
		state.gossipDelay = -1
	}
	return message
}
