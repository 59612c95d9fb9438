package registrar

import (
	"slices"
	"strings"
)

// Owned returns the backend servers that the entry owns, by name.
func (r *Roster) Owned(entry string) []Server {
	var list []Server
	for name, o := range r.owners {
		if s, ok := r.servers[name]; ok && o.Entry == entry {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return list
}
