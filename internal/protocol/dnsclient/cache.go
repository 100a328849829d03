package dnsclient

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cobaltpier/internal/decision/enum"
)

// CacheTimes bound what is kept; times are ms.
type CacheTimes struct {
	MaxEntries     int     // names
	MinTTL         float64 // an answer is kept at least so long: a TTL of 0 would ask for each call
	MaxTTL         float64 // and at most
	MaxNegativeTTL float64 // "there is none" is kept at most so long (RFC 2308 5)
	StaleTime      float64 // an answer that ran out is served for so long where nothing newer comes (RFC 8767); 0: never
	FailureTTL     float64 // a name that failed is not asked for again for so long (RFC 9520 3.2)
}

// cache keeps answers, those that were used last.
type cache struct {
	times CacheTimes
	lru   *simplelru.LRU[string, *entry]
}

type entry struct {
	rules         []enum.Rule // none: there are none
	expires       float64
	staleUntil    float64 // it may be served till then
	noQueryBefore float64 // no query before this
}

func newCache(times CacheTimes) *cache {
	lru, err := simplelru.NewLRU[string, *entry](max(1, times.MaxEntries), nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &cache{times, lru}
}

// fresh finds an answer whose time is not over; else what is left of it.
func (c *cache) fresh(now float64, name string) (*entry, bool) {
	e, ok := c.lru.Get(name)
	return e, ok && now < e.expires
}

// stale finds an answer that ran out but may be served.
func (c *cache) stale(now float64, name string) *entry {
	if e, ok := c.lru.Get(name); ok && now < e.staleUntil && e.expires > 0 {
		return e
	}
	return nil
}

// put keeps an answer; ttl in ms. Without rules it is a negative one.
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

// fail notes that a query for a name came to nothing.
func (c *cache) fail(now float64, name string) {
	e, ok := c.lru.Get(name)
	if !ok {
		e = &entry{}
		c.lru.Add(name, e)
	}
	e.noQueryBefore = now + c.times.FailureTTL
}
