package dnsclient

// Counts are the counters of a client since its start.
type Counts struct {
	Lookups  uint64 `json:"lookups"`
	Cached   uint64 `json:"cached"`   // look-ups answered from the cache
	Stale    uint64 `json:"stale"`    // look-ups answered with an expired answer
	Shared   uint64 `json:"shared"`   // look-ups that shared the queries of another one
	Sent     uint64 `json:"sent"`     // queries over UDP
	Streams  uint64 `json:"streams"`  // queries over TCP
	Answered uint64 `json:"answered"` // responses with rules
	None     uint64 `json:"none"`     // negative responses: the name does not exist or has no rules
	Failed   uint64 `json:"failed"`   // look-ups without an answer
	Late     uint64 `json:"late"`     // look-ups whose deadline passed first; they get an expired answer or fail
	Full     uint64 `json:"full"`     // look-ups not started due to MaxLookups, and TCP queries not sent due to maxStreams
	Strays   uint64 `json:"strays"`   // datagrams that match no query
	Lame     uint64 `json:"lame"`     // errors, refusals and referrals to other servers
	Down     uint64 `json:"down"`     // look-ups without a query because no server may be queried
}

// Add adds the counts of another client.
func (c *Counts) Add(o *Counts) {
	for _, x := range []struct{ to, of *uint64 }{{&c.Lookups, &o.Lookups}, {&c.Cached, &o.Cached}, {&c.Stale, &o.Stale},
		{&c.Shared, &o.Shared},
		{&c.Sent, &o.Sent}, {&c.Streams, &o.Streams}, {&c.Answered, &o.Answered}, {&c.None, &o.None}, {&c.Failed,
			&o.Failed}, {&c.Late, &o.Late},
		{&c.Full, &o.Full}, {&c.Strays, &o.Strays}, {&c.Lame, &o.Lame}, {&c.Down, &o.Down}} {
		*x.to += *x.of
	}
}
