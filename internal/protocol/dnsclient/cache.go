package dnsclient

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cobaltpier/internal/decision/enum"
)

// CacheConfig configures the cache; times are in ms.
type CacheConfig struct {
	MaxEntries     int     // names
	MinTTL         float64 // lower bound on the TTL: a TTL of 0 would mean a query for each call
	MaxTTL         float64 // upper bound on the TTL
	MaxNegativeTTL float64 // upper bound on the TTL of negative answers (RFC 2308 5)
	StaleTime      float64 // how long after expiry an answer may be served without a newer one (RFC 8767); 0: never
	FailureTTL     float64 // after a failed look-up, no query for the name is sent for this long (RFC 9520 3.2)
}

// cache is an LRU cache of answers by name.
type cache struct {
	times CacheConfig
	lru   *simplelru.LRU[string, *entry]
}

type entry struct {
	rules         []enum.Rule // empty: negative answer
	expires       float64
	staleUntil    float64 // until then it may be served as a stale answer
	noQueryBefore float64 // no query for the name is sent before this time, because the last look-up failed
}

func newCache(times CacheConfig) *cache {
	lru, err := simplelru.NewLRU[string, *entry](max(1, times.MaxEntries), nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &cache{times, lru}
}

// fresh returns the entry of a name, which may be nil or expired, and whether it is still fresh.
func (c *cache) fresh(now float64, name string) (*entry, bool) {
	e, ok := c.lru.Get(name)
	return e, ok && now < e.expires
}

// stale returns an entry that may be served as a stale answer, or nil.
func (c *cache) stale(now float64, name string) *entry {
	if e, ok := c.lru.Get(name); ok && now < e.staleUntil && e.expires > 0 {
		return e
	}
	return nil
}

// put stores an answer; ttl is in ms. Without rules it is a negative answer.
func (c *cache) put(now float64, name string, rules []enum.Rule, ttl float64) {
	ttl = math.Min(ttl, c.times.MaxTTL)
	if len(rules) == 0 {
		if ttl = math.Min(ttl, c.times.MaxNegativeTTL); ttl <= 0 {
			c.lru.Remove(name)
			return
		}
	}
	ttl = math.Max(ttl, c.times.MinTTL)
	c.lru.Add(name, &entry{rules: rules, expires: now + ttl, staleUntil: now + ttl + c.times.StaleTime})
}

// fail records that the look-up of a name failed.
func (c *cache) fail(now float64, name string) {
	e, ok := c.lru.Get(name)
	if !ok {
		e = &entry{}
		c.lru.Add(name, e)
	}
	e.noQueryBefore = now + c.times.FailureTTL
}
