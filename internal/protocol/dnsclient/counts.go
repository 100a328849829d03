package dnsclient

// Counts are what a client has seen since its start.
type Counts struct {
	Lookups  uint64 `json:"lookups"` // look-ups
	Cached   uint64 `json:"cached"`  // answered from the cache
	Stale    uint64 `json:"stale"`   // answered with expired records
	Shared   uint64 `json:"shared"`  // answered with another look-up
	Sent     uint64 `json:"sent"`    // queries by datagram
	Streams  uint64 `json:"streams"` // queries by stream
	Answered uint64 `json:"answered"`
	None     uint64 `json:"none"` // names that do not exist
	Failed   uint64 `json:"failed"`
	Late     uint64 `json:"late"`   // responses after the timeout
	Full     uint64 `json:"full"`   // look-ups refused because too many were open
	Strays   uint64 `json:"strays"` // responses to no query
	Lame     uint64 `json:"lame"`   // responses of servers without the zone
	Down     uint64 `json:"down"`   // times that a server went down
}

// Add adds another's counts.
func (c *Counts) Add(o *Counts) {
	for _, x := range []struct{ to, of *uint64 }{{&c.Lookups, &o.Lookups}, {&c.Cached, &o.Cached}, {&c.Stale, &o.Stale},
		{&c.Shared, &o.Shared},
		{&c.Sent, &o.Sent}, {&c.Streams, &o.Streams}, {&c.Answered, &o.Answered}, {&c.None, &o.None}, {&c.Failed,
			&o.Failed}, {&c.Late, &o.Late},
		{&c.Full, &o.Full}, {&c.Strays, &o.Strays}, {&c.Lame, &o.Lame}, {&c.Down, &o.Down}} {
		*x.to += *x.of
	}
}
