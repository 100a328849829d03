package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// A gossip message is a list of byte pairs: a destination ID, and the queueing delay measured there in units
// of gossipDelayUnit.
const gossipPairSize = 2

// OnGossip handles queueing delays sent by another gateway. A delay is ignored if this gateway had an update
// of the endpoint within gossipHoldDown.
func (r *Router) OnGossip(now float64, _ int, data []byte) {
	r.setTime(now)
	r.capacityGrown = true
	for ; len(data) >= gossipPairSize; data = data[gossipPairSize:] {
		for _, endpoint := range r.destinations {
			state := stateOf(endpoint)
			if endpoint.DestinationID == int(data[0]) && r.now-state.updatedAt > gossipHoldDown {
				r.recordDelay(state, float64(data[1])*gossipDelayUnit)
			}
		}
	}
}

// sendGossip sends delays that differ much from the estimate to a few random gateways. It guards against
// queues that grow faster than gateways with rare updates of an endpoint could detect alone. The router also
// works without gossip.
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
