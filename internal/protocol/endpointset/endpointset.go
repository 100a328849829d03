// Package endpointset holds the endpoints of one gateway's endpoint list, by ID and by destination. It makes no
// routing decisions.
package endpointset

//tally:decisions

import (
	"cmp"
	"slices"

	"cobaltpier/internal/routing"
)

// Entry is one entry of an endpoint list. ID identifies the process or machine: a replacement has a new one.
type Entry[ID cmp.Ordered] struct {
	ID            ID
	DestinationID int
	State         routing.State
	StartedAt     float64 // latest start, ms on the host's clock; 0: long ago
}

// Set is the set of endpoints that a gateway knows.
type Set[ID cmp.Ordered] struct {
	byID          map[ID]*routing.Endpoint
	ids           map[*routing.Endpoint]ID
	byDestination map[int]*routing.Endpoint
}

// New returns an empty set.
func New[ID cmp.Ordered]() *Set[ID] {
	return &Set[ID]{
		byID:          map[ID]*routing.Endpoint{},
		ids:           map[*routing.Endpoint]ID{},
		byDestination: map[int]*routing.Endpoint{},
	}
}

// Apply applies an endpoint list, which is complete or contains only changes. It returns the listed endpoints in the
// order of the list, followed by those newly gone because a complete list omits them, ordered by ID.
func (s *Set[ID]) Apply(list []Entry[ID], complete bool) []*routing.Endpoint {
	var changed []*routing.Endpoint
	listed := map[*routing.Endpoint]bool{}
	for _, entry := range list {
		endpoint := s.update(entry)
		listed[endpoint] = true
		changed = append(changed, endpoint)
	}
	if !complete {
		return changed
	}
	return append(changed, s.markGone(listed)...)
}

func (s *Set[ID]) update(entry Entry[ID]) *routing.Endpoint {
	endpoint := s.byID[entry.ID]
	if endpoint == nil {
		endpoint = &routing.Endpoint{LoadReport: routing.UnknownLoad()}
		s.byID[entry.ID] = endpoint
		s.ids[endpoint] = entry.ID
	}
	endpoint.DestinationID = entry.DestinationID
	endpoint.State = entry.State
	endpoint.StartedAt = entry.StartedAt
	// Of several endpoints of one destination the most recent ready one is used.
	old := s.byDestination[endpoint.DestinationID]
	if old == nil || endpoint.State == routing.Ready || old.State == routing.Gone {
		s.byDestination[endpoint.DestinationID] = endpoint
	}
	return endpoint
}

// markGone marks all endpoints that are not listed as gone, and returns those that were not gone before.
func (s *Set[ID]) markGone(listed map[*routing.Endpoint]bool) []*routing.Endpoint {
	var gone []*routing.Endpoint
	for _, endpoint := range s.byID {
		if !listed[endpoint] && endpoint.State != routing.Gone {
			endpoint.State = routing.Gone
			gone = append(gone, endpoint)
		}
	}
	slices.SortFunc(gone, func(a, b *routing.Endpoint) int { return cmp.Compare(s.ids[a], s.ids[b]) })
	return gone
}

// Remove removes an endpoint if it is gone. IDs are not reused, so it can't be listed again.
func (s *Set[ID]) Remove(endpoint *routing.Endpoint) {
	id, known := s.ids[endpoint]
	if !known || endpoint.State != routing.Gone {
		return
	}
	delete(s.ids, endpoint)
	delete(s.byID, id)
	if s.byDestination[endpoint.DestinationID] == endpoint {
		delete(s.byDestination, endpoint.DestinationID)
	}
}

// ByID returns the endpoint with an ID; nil: it was never listed.
func (s *Set[ID]) ByID(id ID) *routing.Endpoint { return s.byID[id] }

// IDOf returns the ID of an endpoint of this set.
func (s *Set[ID]) IDOf(endpoint *routing.Endpoint) ID { return s.ids[endpoint] }

// ByDestination returns the endpoint of a destination; nil: none has that destination ID.
func (s *Set[ID]) ByDestination(id int) *routing.Endpoint { return s.byDestination[id] }
