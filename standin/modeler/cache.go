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

// prefixCache is an LRU cache of prefixes, limited in tokens.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	recency     *list.List // of cachedPrefix, most recently used first
	entries     map[prefixKey]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limitTokens: limit, recency: list.New(), entries: make(map[prefixKey]*list.Element)}
}

// lookup returns the number of tokens cached under the key.
func (c *prefixCache) lookup(key prefixKey) int {
	el, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.recency.MoveToFront(el)
	return valueOf(el).tokens
}

// add stores a prefix and returns the evicted keys; false means that it is cached already or doesn't fit.
func (c *prefixCache) add(key prefixKey, tokens int) ([]prefixKey, bool) {
	if _, ok := c.entries[key]; ok || tokens > c.limitTokens {
		return nil, false
	}
	c.entries[key] = c.recency.PushFront(cachedPrefix{key: key, tokens: tokens})
	c.usedTokens += tokens
	var evicted []prefixKey
	for c.usedTokens > c.limitTokens {
		el := c.recency.Back()
		v := valueOf(el)
		c.recency.Remove(el)
		delete(c.entries, v.key)
		c.usedTokens -= v.tokens
		evicted = append(evicted, v.key)
	}
	return evicted, true
}

func valueOf(el *list.Element) cachedPrefix {
	v, _ := el.Value.(cachedPrefix)
	return v
}
