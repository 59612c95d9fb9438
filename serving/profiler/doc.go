// Package profiler learns how fast the servers of a service are in relation to each other, from the times between the
// events of their streams and before the first ones, summed over all entries.
package profiler
