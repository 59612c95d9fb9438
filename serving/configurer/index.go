package configurer

import (
	"slices"
	"strings"
)

// maxChunkLen bounds the objects in a chunk; a change of one object copies one chunk.
const maxChunkLen = 256

// rebuildDivisor bounds single puts: more than size/rebuildDivisor rebuild the index in one pass.
const rebuildDivisor = 64

type named interface{ Name() string }

// index is an immutable list of objects, sorted by name, in chunks; a change copies one chunk.
type index[T named] struct {
	chunks [][]T
	size   int
}

// newIndex returns an index of objects sorted by name without duplicates.
func newIndex[T named](sorted []T) index[T] {
	x := index[T]{size: len(sorted)}
	for chunk := range slices.Chunk(sorted, maxChunkLen/2) {
		x.chunks = append(x.chunks, slices.Clip(chunk))
	}
	return x
}

// find returns the chunk that holds or would hold name, the position in it, and whether it is there.
func (x index[T]) find(name string) (int, int, bool) {
	if len(x.chunks) == 0 {
		return 0, 0, false
	}
	c, found := slices.BinarySearchFunc(x.chunks, name, func(chunk []T, name string) int {
		return strings.Compare(chunk[0].Name(), name)
	})
	if found {
		return c, 0, true
	}
	c = max(c-1, 0)
	i, found := slices.BinarySearchFunc(x.chunks[c], name, compareName[T])
	return c, i, found
}

func compareName[T named](v T, name string) int { return strings.Compare(v.Name(), name) }

func (x index[T]) get(name string) (T, bool) {
	c, i, ok := x.find(name)
	if !ok {
		var zero T
		return zero, false
	}
	return x.chunks[c][i], true
}

func (x index[T]) with(v T) index[T] {
	if len(x.chunks) == 0 {
		return newIndex([]T{v})
	}
	c, i, ok := x.find(v.Name())
	chunks := slices.Clone(x.chunks)
	if ok {
		chunks[c] = slices.Clone(chunks[c])
		chunks[c][i] = v
		return index[T]{chunks: chunks, size: x.size}
	}
	chunk := slices.Insert(slices.Clone(chunks[c]), i, v)
	if len(chunk) <= maxChunkLen {
		chunks[c] = chunk
		return index[T]{chunks: chunks, size: x.size + 1}
	}
	half := len(chunk) / 2
	chunks[c] = slices.Clone(chunk[:half])
	chunks = slices.Insert(chunks, c+1, slices.Clone(chunk[half:]))
	return index[T]{chunks: chunks, size: x.size + 1}
}

func (x index[T]) without(name string) index[T] {
	c, i, ok := x.find(name)
	if !ok {
		return x
	}
	chunks := slices.Clone(x.chunks)
	if len(chunks[c]) == 1 {
		return index[T]{chunks: slices.Delete(chunks, c, c+1), size: x.size - 1}
	}
	chunks[c] = slices.Delete(slices.Clone(chunks[c]), i, i+1)
	return index[T]{chunks: chunks, size: x.size - 1}
}

// update puts and removes objects; many puts are merged in one pass over the index.
func (x index[T]) update(put []T, remove []string) index[T] {
	if len(put) <= x.size/rebuildDivisor {
		for _, v := range put {
			x = x.with(v)
		}
	} else if len(put) > 0 {
		x = x.merge(put)
	}
	for _, name := range remove {
		x = x.without(name)
	}
	return x
}

// merge rebuilds the index with put; of equal names in put the last one wins.
func (x index[T]) merge(put []T) index[T] {
	put = slices.Clone(put)
	slices.SortStableFunc(put, func(a, b T) int { return strings.Compare(a.Name(), b.Name()) })
	all := make([]T, 0, x.size+len(put))
	add := func(v T) {
		if n := len(all); n > 0 && all[n-1].Name() == v.Name() {
			all[n-1] = v
			return
		}
		all = append(all, v)
	}
	x.each(func(v T) {
		for len(put) > 0 && put[0].Name() < v.Name() {
			add(put[0])
			put = put[1:]
		}
		add(v)
	})
	for _, v := range put {
		add(v)
	}
	return newIndex(all)
}

// page returns up to limit objects with names after the given one.
func (x index[T]) page(after string, limit int) []T {
	limit = max(limit, 0)
	out := make([]T, 0, min(limit, x.size))
	c, i, ok := x.find(after)
	if ok {
		i++
	}
	for ; c < len(x.chunks) && len(out) < limit; c, i = c+1, 0 {
		n := min(limit-len(out), len(x.chunks[c])-i)
		out = append(out, x.chunks[c][i:i+n]...)
	}
	return out
}

func (x index[T]) each(f func(T)) {
	for _, chunk := range x.chunks {
		for _, v := range chunk {
			f(v)
		}
	}
}
