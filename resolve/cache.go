package resolve

import (
	"container/list"
	"math"

	"cobaltpier/enum"
)

// CacheTimes bound what is kept; times are ms.
type CacheTimes struct {
	Most     int     // names
	Least    float64 // an answer is kept at least so long: a TTL of 0 would ask for each contact
	Longest  float64 // and at most
	Negative float64 // "there is none" is kept at most so long (RFC 2308 5)
	Stale    float64 // an answer that ran out is served for so long where nothing newer comes (RFC 8767); 0: never
	Fail     float64 // a name that failed is not asked for again for so long (RFC 9520 3.2)
}

// cache keeps answers, the latest used of them. It never forgets one that is good before one that ran out.
type cache struct {
	times CacheTimes
	of    map[string]*list.Element
	order *list.List // the latest used first
}

type kept struct {
	name   string
	rules  []enum.Rule // none: there are none
	until  float64
	stale  float64 // it may be served till then
	failed float64 // no question before this
}

func newCache(t CacheTimes) *cache { return &cache{t, map[string]*list.Element{}, list.New()} }

// fresh finds an answer whose time is not over.
func (c *cache) fresh(now float64, name string) (*kept, bool) {
	e := c.of[name]
	if e == nil {
		return nil, false
	}
	k := e.Value.(*kept)
	if now >= k.until {
		return k, false
	}
	c.order.MoveToFront(e)
	return k, true
}

// stale finds an answer that ran out but may be served.
func (c *cache) stale(now float64, name string) *kept {
	if e := c.of[name]; e != nil {
		if k := e.Value.(*kept); now < k.stale && k.until > 0 {
			return k
		}
	}
	return nil
}

// put keeps an answer; ttl in ms. Without rules it is a negative one.
func (c *cache) put(now float64, name string, rules []enum.Rule, ttl float64) {
	ttl = math.Min(ttl, c.times.Longest)
	if len(rules) == 0 {
		if ttl = math.Min(ttl, c.times.Negative); ttl <= 0 {
			c.drop(name)
			return
		}
	}
	ttl = math.Max(ttl, c.times.Least)
	c.set(&kept{name: name, rules: rules, until: now + ttl, stale: now + ttl + c.times.Stale})
}

// fail notes that a question for a name came to nothing.
func (c *cache) fail(now float64, name string) {
	if e := c.of[name]; e != nil {
		e.Value.(*kept).failed = now + c.times.Fail
		return
	}
	c.set(&kept{name: name, failed: now + c.times.Fail})
}

func (c *cache) set(k *kept) {
	c.drop(k.name)
	for len(c.of) > 0 && len(c.of) >= c.times.Most {
		c.drop(c.order.Back().Value.(*kept).name)
	}
	c.of[k.name] = c.order.PushFront(k)
}

func (c *cache) drop(name string) {
	if e := c.of[name]; e != nil {
		c.order.Remove(e)
		delete(c.of, name)
	}
}
