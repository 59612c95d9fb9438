package modeler

import "container/list"

// prefixKey identifies a prefix of one model; adapters don't share cached prefixes.
type prefixKey struct {
	model  string
	prefix uint64
}

type cachedPrefix struct {
	key    prefixKey
	tokens int
}

// cache is an LRU cache of prefixes, limited in tokens.
type cache struct {
	limit   int
	used    int
	order   *list.List // of cachedPrefix, most recently used first
	entries map[prefixKey]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), entries: make(map[prefixKey]*list.Element)}
}

// lookup returns the number of tokens cached under the key.
func (c *cache) lookup(key prefixKey) int {
	el, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.order.MoveToFront(el)
	return valueOf(el).tokens
}

// add stores a prefix and returns the evicted keys; false means that it is cached already or doesn't fit.
func (c *cache) add(key prefixKey, tokens int) ([]prefixKey, bool) {
	if _, ok := c.entries[key]; ok || tokens > c.limit {
		return nil, false
	}
	c.entries[key] = c.order.PushFront(cachedPrefix{key: key, tokens: tokens})
	c.used += tokens
	var dropped []prefixKey
	for c.used > c.limit {
		el := c.order.Back()
		v := valueOf(el)
		c.order.Remove(el)
		delete(c.entries, v.key)
		c.used -= v.tokens
		dropped = append(dropped, v.key)
	}
	return dropped, true
}

func valueOf(el *list.Element) cachedPrefix {
	v, _ := el.Value.(cachedPrefix)
	return v
}
