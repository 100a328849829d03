// Package endpointset follows the endpoint list of one gateway: which endpoints there are, by ID and by destination.
// It decides nothing.
package endpointset

//tally:decisions

import (
	"cmp"
	"slices"

	"cobaltpier/internal/routing"
)

// Entry is one line of an endpoint list. ID names the process or machine: a replacement has a new one.
type Entry[ID cmp.Ordered] struct {
	ID            ID
	DestinationID int
	State         routing.State
	StartedAt     float64 // its latest start, ms on the host's clock; 0: long ago
}

// Set is the endpoints that a gateway knows.
type Set[ID cmp.Ordered] struct {
	byID          map[ID]*routing.Endpoint
	ids           map[*routing.Endpoint]ID
	byDestination map[int]*routing.Endpoint
}

// New makes an empty set.
func New[ID cmp.Ordered]() *Set[ID] {
	return &Set[ID]{
		byID:          map[ID]*routing.Endpoint{},
		ids:           map[*routing.Endpoint]ID{},
		byDestination: map[int]*routing.Endpoint{},
	}
}

// Apply takes an endpoint list, complete or of changes only. It returns the endpoints that changed, in the order of
// the list; those that a complete list leaves out are gone and come last, by their IDs.
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
	// of several endpoints of one destination the latest that is ready counts
	old := s.byDestination[endpoint.DestinationID]
	if old == nil || endpoint.State == routing.Ready || old.State == routing.Gone {
		s.byDestination[endpoint.DestinationID] = endpoint
	}
	return endpoint
}

// markGone marks all endpoints that are not listed as gone, and returns those that were not before.
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

// Remove forgets an endpoint that is gone; others stay. IDs are never used again, so none comes back.
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

// ByID gives the endpoint with an ID; nil: it was never listed.
func (s *Set[ID]) ByID(id ID) *routing.Endpoint { return s.byID[id] }

// IDOf gives the ID of an endpoint of this set.
func (s *Set[ID]) IDOf(endpoint *routing.Endpoint) ID { return s.ids[endpoint] }

// ByDestination gives the endpoint of a destination; nil: none has that destination ID.
func (s *Set[ID]) ByDestination(id int) *routing.Endpoint { return s.byDestination[id] }
