package checker

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Node reads the fields of a JSON object; an invalid or missing field adds a finding and reads as zero.
type Node struct {
	report       *report
	path         string
	value        any
	isUnreadable bool
	readKeys     []string
}

// Path returns the node's JSON path.
func (n *Node) Path() string { return n.path }

// FieldPath returns the JSON path of a field.
func (n *Node) FieldPath(key string) string { return joinPath(n.path, key) }

// Add adds a finding at a field, or at the node itself if key is "".
func (n *Node) Add(key, reason string) {
	if key == "" {
		n.report.add(n.path, reason)
		return
	}
	n.report.add(n.FieldPath(key), reason)
}

// Findings returns the findings of the whole file so far.
func (n *Node) Findings() []Finding { return n.report.findings }

// IsUnreadable reports whether the value is missing or no object, without fields to read.
func (n *Node) IsUnreadable() bool { return n.isUnreadable }

// ReportUnknownFields adds findings for fields that weren't read; call it after the last read.
func (n *Node) ReportUnknownFields() {
	o, ok := n.value.(*object)
	if !ok {
		return
	}
	for _, key := range o.keys {
		if !slices.Contains(n.readKeys, key) {
			n.Add(key, "unknown field")
		}
	}
}

// Has reports whether a field exists.
func (n *Node) Has(key string) bool {
	_, ok := n.lookup(key)
	return ok
}

func (n *Node) lookup(key string) (any, bool) {
	n.readKeys = append(n.readKeys, key)
	o, ok := n.value.(*object)
	if !ok {
		return nil, false
	}
	v, ok := o.fields[key]
	return v, ok
}

// required returns a field's value; if missing, it adds a finding.
func (n *Node) required(key string) (any, bool) {
	v, ok := n.lookup(key)
	if !ok && !n.isUnreadable {
		n.Add(key, "is missing")
	}
	return v, ok
}

// Object returns a field that must be an object.
func (n *Node) Object(key string) *Node {
	v, ok := n.required(key)
	return n.child(n.FieldPath(key), v, ok)
}

func (n *Node) child(path string, v any, found bool) *Node {
	c := &Node{report: n.report, path: path, value: v, isUnreadable: !found}
	if _, ok := v.(*object); found && !ok {
		c.isUnreadable = true
		c.Add("", "must be an object")
	}
	return c
}

// Objects returns the elements of a field that must be a list of at least minLen objects.
func (n *Node) Objects(key string, minLen int) []*Node {
	list := n.list(key, minLen)
	nodes := make([]*Node, 0, len(list))
	for i, v := range list {
		nodes = append(nodes, n.child(fmt.Sprintf("%s[%d]", n.FieldPath(key), i), v, true))
	}
	return nodes
}

// list returns a field that must be a list; it may be missing if minLen is 0.
func (n *Node) list(key string, minLen int) []any {
	v, ok := n.lookup(key)
	if !ok && minLen == 0 {
		return nil
	}
	if !ok {
		if !n.isUnreadable {
			n.Add(key, "is missing")
		}
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		n.Add(key, "must be a list")
		return nil
	}
	if len(list) < minLen {
		n.Add(key, fmt.Sprintf("has %d elements, needs %d", len(list), minLen))
	}
	return list
}

// Names returns a field that must be a list of distinct names.
func (n *Node) Names(key string, minLen int) []string {
	return n.strings(key, minLen, n.report.checkName)
}

// Strings returns a field that must list distinct strings.
func (n *Node) Strings(key string, minLen int) []string {
	return n.strings(key, minLen, func(string, string) {})
}

// Addrs returns a field that must list distinct ip:port addresses.
func (n *Node) Addrs(key string, minLen int) []string {
	return n.strings(key, minLen, n.report.checkAddr)
}

func (n *Node) strings(key string, minLen int, check func(path, text string)) []string {
	var list []string
	for i, v := range n.list(key, minLen) {
		path := fmt.Sprintf("%s[%d]", n.FieldPath(key), i)
		s, ok := v.(string)
		if !ok {
			n.report.add(path, "must be a text")
			continue
		}
		check(path, s)
		if slices.Contains(list, s) {
			n.report.add(path, fmt.Sprintf("%q stands twice", s))
		}
		list = append(list, s)
	}
	return list
}

// String returns a field that must be a non-empty string.
func (n *Node) String(key string) string {
	v, ok := n.required(key)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		n.Add(key, "must be a text")
		return ""
	}
	if s == "" {
		n.Add(key, "is empty")
	}
	return s
}

// Name returns a field that must be lower-case letters, digits, hyphens and dots.
func (n *Node) Name(key string) string {
	s := n.String(key)
	if s != "" {
		n.report.checkName(n.FieldPath(key), s)
	}
	return s
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func (r *report) checkName(path, s string) {
	if !namePattern.MatchString(s) {
		r.add(path, fmt.Sprintf("%q is no name: up to 63 lower-case letters, digits, hyphens and dots", s))
	}
}

// Choice returns a field that must be one of the choices.
func (n *Node) Choice(key string, choices ...string) string {
	s := n.String(key)
	if s != "" && !slices.Contains(choices, s) {
		n.Add(key, fmt.Sprintf("%q is none of %s", s, strings.Join(choices, ", ")))
		return ""
	}
	return s
}

// Addr returns a field that must be ip:port.
func (n *Node) Addr(key string) string {
	s := n.String(key)
	if s != "" {
		n.report.checkAddr(n.FieldPath(key), s)
	}
	return s
}

func (r *report) checkAddr(path, s string) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		r.add(path, fmt.Sprintf("%q is no address of the form ip:port", s))
	case a.Port() == 0:
		r.add(path, fmt.Sprintf("%q has port 0", s))
	case a.Addr().IsUnspecified():
		r.add(path, fmt.Sprintf("%q is no address that others can reach", s))
	}
}

// IP returns a field that must be an IP address.
func (n *Node) IP(key string) string {
	s := n.String(key)
	if s == "" {
		return ""
	}
	a, err := netip.ParseAddr(s)
	if err != nil || a.IsUnspecified() {
		n.Add(key, fmt.Sprintf("%q is no IP number", s))
		return s
	}
	return a.String() // canonical, so that duplicates compare equal
}

// Bool returns an optional boolean field, false by default.
func (n *Node) Bool(key string) bool {
	v, ok := n.lookup(key)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		n.Add(key, "must be true or false")
	}
	return b
}

// Count returns a field that must be an integer within bounds.
func (n *Node) Count(key string, minValue, maxValue int) int {
	v, ok := n.required(key)
	if !ok {
		return 0
	}
	num, ok := v.(json.Number)
	if !ok {
		n.Add(key, "must be a whole number without a unit")
		return 0
	}
	i, err := strconv.Atoi(num.String())
	if err != nil {
		n.Add(key, fmt.Sprintf("%s is no whole number", num))
		return 0
	}
	if i < minValue || i > maxValue {
		n.Add(key, fmt.Sprintf("%d is not between %d and %d", i, minValue, maxValue))
	}
	return i
}

// Rate returns a field that must be a positive number per second.
func (n *Node) Rate(key string) float64 {
	v, ok := n.required(key)
	if !ok {
		return 0
	}
	num, ok := v.(json.Number)
	if !ok {
		n.Add(key, "must be a number, by the second and without a unit")
		return 0
	}
	f, err := num.Float64()
	if err != nil || f <= 0 || math.IsInf(f, 0) {
		n.Add(key, fmt.Sprintf("%s is not above 0", num))
		return 0
	}
	return f
}

// Duration returns a field that must be a positive duration with a unit.
func (n *Node) Duration(key string) time.Duration {
	v, ok := n.required(key)
	if !ok {
		return 0
	}
	s, ok := v.(string)
	if !ok {
		n.Add(key, `must be a text with a unit, such as "250ms"`)
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		n.Add(key, fmt.Sprintf(`%q is no duration with a unit, such as "250ms"`, s))
		return 0
	}
	if d <= 0 {
		n.Add(key, fmt.Sprintf("%q is not above 0", s))
	}
	return d
}

// sizeUnits are the units that Size accepts.
var sizeUnits = []struct {
	unit  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}

// maxSizeBytes fits an int on all platforms.
const maxSizeBytes = 1 << 30

// Size returns, in bytes, a field that must be a positive size with a unit, at most 1 GiB.
func (n *Node) Size(key string) int {
	v, ok := n.required(key)
	if !ok {
		return 0
	}
	s, ok := v.(string)
	if !ok {
		n.Add(key, `must be a text with a unit, such as "8MiB"`)
		return 0
	}
	for _, u := range sizeUnits {
		num, ok := strings.CutSuffix(s, u.unit)
		if !ok {
			continue
		}
		i, err := strconv.Atoi(num)
		if err != nil || i <= 0 || i > maxSizeBytes/u.bytes {
			break
		}
		return i * u.bytes
	}
	n.Add(key, fmt.Sprintf(`%q is no size up to 1GiB with a unit, such as "8MiB"`, s))
	return 0
}
