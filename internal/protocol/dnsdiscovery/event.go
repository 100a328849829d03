package dnsdiscovery

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"cobaltpier/internal/routing"
)

// eventJSON is the JSON form of an endpoint event in the platform's configuration.
type eventJSON struct {
	Serial uint32 `json:"no"`
	List   struct {
		Complete bool         `json:"all"`
		Targets  []targetJSON `json:"targets"`
	} `json:"roster"`
}

type targetJSON struct {
	ID            string  `json:"uid"`
	Address       string  `json:"endpoint"`
	DestinationID int     `json:"pod_group"`
	State         string  `json:"state"`
	StartedAt     float64 `json:"boot_ms"`
}

var statesByName = map[string]routing.State{
	"ready":    routing.Ready,
	"draining": routing.Draining,
	"gone":     routing.Gone,
}

// ParseEvent parses an event from the platform's configuration: a complete list, or the changes since the last one.
func ParseEvent(raw []byte) (List, error) {
	var event eventJSON
	if err := json.Unmarshal(raw, &event); err != nil {
		return List{}, err
	}
	list := List{Serial: event.Serial, Complete: event.List.Complete}
	for _, t := range event.List.Targets {
		entry, err := t.target()
		if err != nil {
			return List{}, fmt.Errorf("target %q: %w", t.ID, err)
		}
		list.Entries = append(list.Entries, entry)
	}
	return list, nil
}

// target checks the entry and converts it.
func (t *targetJSON) target() (Entry, error) {
	state, ok := statesByName[t.State]
	if !ok || t.ID == "" {
		return Entry{}, fmt.Errorf("state: want ready, draining or gone, got %q", t.State)
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil && state != routing.Gone {
		return Entry{}, fmt.Errorf("endpoint: want an address, got %q", t.Address)
	}
	return Entry{
		ID:            t.ID,
		Addr:          address,
		DestinationID: t.DestinationID,
		State:         state,
		StartedAt:     t.StartedAt,
	}, nil
}
