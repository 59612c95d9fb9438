// Package tunneler carries connections to backend servers through other entries, for entries that have lost their own links to them.
package tunneler
