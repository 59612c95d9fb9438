package loader

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

// Default limits of an entry.
const (
	defaultBody   = 8 << 20 // bytes
	defaultConns  = 20_000
	defaultUnread = 4 << 20 // bytes
	defaultHeader = 10 * time.Second
	defaultIdle   = 2 * time.Minute
	defaultWrite  = 10 * time.Second
)

// Bounds of settings.
const (
	maxConns    = 1_000_000
	maxReplicas = 7
	maxID       = 1<<31 - 1
	maxLoads    = 10_000
)

// Load reads the settings of one process; relative paths in them are resolved against the file's folder.
func Load(path string) (*Settings, error) {
	s, findings, err := read(path)
	if err != nil {
		return nil, err
	}
	if err := checker.NewError(findings); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reads the settings of all processes of a deployment and also checks them for conflicts.
func Check(paths []string) ([]*Settings, error) {
	var list []*Settings
	var findings []checker.Finding
	for _, path := range paths {
		s, found, err := read(path)
		if err != nil {
			found = []checker.Finding{checker.NewFinding(path, "", err.Error())}
		}
		if s != nil {
			list = append(list, s)
		}
		findings = append(findings, found...)
	}
	findings = append(findings, compare(list)...)
	return list, checker.NewError(findings)
}

func read(path string) (*Settings, []checker.Finding, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings")
	}
	s, findings := Parse(path, b)
	return s, findings, nil
}

// Parse parses the content of a settings file; the result is valid only if there are no findings.
func Parse(file string, b []byte) (*Settings, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsBroken() {
		return nil, n.Findings()
	}
	s := &Settings{file: file, role: Role(n.Choice("role", string(RoleEntry), string(RoleControl)))}
	s.name = n.Name("name")
	s.zones = n.Names("zones", 1)
	s.zone = n.Name("zone")
	if s.zone != "" && len(s.zones) > 0 && !slices.Contains(s.zones, s.zone) {
		n.Add("zone", fmt.Sprintf("%q is not among the zones", s.zone))
	}
	s.peers = n.Addr("peers")
	s.metrics = n.Addr("metrics")
	switch s.role {
	case RoleEntry:
		s.entry = parseEntry(n)
	case RoleControl:
		s.control = parseControl(n, filepath.Dir(file))
		s.checkMember(n)
	default:
		return s, n.Findings() // the set of known fields depends on the role
	}
	n.End()
	s.checkAddrs(n)
	return s, n.Findings()
}

func parseEntry(n *checker.Node) Entry {
	e := Entry{
		callers:  n.Addr("callers"),
		controls: n.Addrs("controls", 1),
		limits: Limits{
			body: defaultBody, conns: defaultConns, unread: defaultUnread,
			header: defaultHeader, idle: defaultIdle, write: defaultWrite,
		},
	}
	if !n.Has("limits") {
		return e
	}
	l := n.Object("limits")
	sizeIfThere(l, "body", &e.limits.body)
	sizeIfThere(l, "unread", &e.limits.unread)
	if l.Has("conns") {
		e.limits.conns = l.Count("conns", 1, maxConns)
	}
	durationIfThere(l, "header", &e.limits.header)
	durationIfThere(l, "idle", &e.limits.idle)
	durationIfThere(l, "write", &e.limits.write)
	l.End()
	return e
}

func sizeIfThere(n *checker.Node, key string, p *int) {
	if n.Has(key) {
		*p = n.Size(key)
	}
}

func durationIfThere(n *checker.Node, key string, p *time.Duration) {
	if n.Has(key) {
		*p = n.Duration(key)
	}
}

func parseControl(n *checker.Node, base string) Control {
	c := Control{
		id:        uint64(n.Count("id", 1, maxID)),
		cluster:   n.Name("cluster"),
		folder:    under(base, n.Text("folder")),
		operators: n.Addr("operators"),
		tokens:    under(base, n.Text("tokens")),
	}
	if n.Has("tls") {
		t := n.Object("tls")
		c.tls = TLS{cert: under(base, t.Text("cert")), key: under(base, t.Text("key"))}
		t.End()
	}
	for _, m := range n.Objects("members", 0) {
		c.members = append(c.members, Member{id: uint64(m.Count("id", 1, maxID)), addr: m.Addr("addr")})
		m.End()
	}
	checkMembers(n, c.members)
	s := n.Object("store")
	c.store = Store{
		rate:     s.Rate("rate"),
		parallel: s.Count("parallel", 1, maxLoads),
		inflight: s.Count("inflight", 1, maxLoads),
		load:     s.Duration("load"),
	}
	if c.store.inflight > 0 && c.store.inflight < c.store.parallel {
		s.Add("inflight", "is below parallel")
	}
	s.End()
	return c
}

func under(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

func checkMembers(n *checker.Node, members []Member) {
	if len(members) > maxReplicas {
		n.Add("members", fmt.Sprintf("has %d elements, at most %d replicas are useful", len(members), maxReplicas))
	}
	for i, m := range members {
		for j, other := range members[:i] {
			if m.id != 0 && m.id == other.id {
				n.Add(fmt.Sprintf("members[%d].id", i), fmt.Sprintf("%d is that of members[%d] too", m.id, j))
			}
			if m.addr != "" && m.addr == other.addr {
				n.Add(fmt.Sprintf("members[%d].addr", i), fmt.Sprintf("%q is that of members[%d] too", m.addr, j))
			}
		}
	}
}

// checkMember checks the replica's own element in the list of members.
func (s *Settings) checkMember(n *checker.Node) {
	c := s.control
	if len(c.members) == 0 || c.id == 0 {
		return
	}
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.id == c.id })
	if i < 0 {
		n.Add("id", fmt.Sprintf("%d is not among the members", c.id))
		return
	}
	if c.members[i].addr != s.peers {
		n.Add(fmt.Sprintf("members[%d].addr", i), fmt.Sprintf("%q is not this replica's peers address %q", c.members[i].addr, s.peers))
	}
}

// place is an address and the field that sets it.
type place struct {
	key  string
	addr string
}

// listeners returns the addresses that the process listens on.
func (s *Settings) listeners() []place {
	list := []place{{"peers", s.peers}, {"metrics", s.metrics}}
	if s.role == RoleEntry {
		return append(list, place{"callers", s.entry.callers})
	}
	return append(list, place{"operators", s.control.operators})
}

func (s *Settings) checkAddrs(n *checker.Node) {
	list := s.listeners()
	for i, l := range list {
		for _, other := range list[:i] {
			if l.addr != "" && l.addr == other.addr {
				n.Add(l.key, fmt.Sprintf("%q is the address of %s too", l.addr, other.key))
			}
		}
	}
}
