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
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxConns         = 20_000
	defaultMaxUnreadBytes   = 4 << 20
	defaultMaxBufferedBytes = 512 << 20
	defaultReadTimeout      = 10 * time.Second
	defaultIdleTimeout      = 2 * time.Minute
	defaultWriteTimeout     = 10 * time.Second
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
	s, findings, err := readFile(path)
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
		s, fileFindings, err := readFile(path)
		if err != nil {
			fileFindings = []checker.Finding{checker.NewFinding(path, "", err.Error())}
		}
		if s != nil {
			list = append(list, s)
		}
		findings = append(findings, fileFindings...)
	}
	findings = append(findings, findConflicts(list)...)
	return list, checker.NewError(findings)
}

func readFile(path string) (*Settings, []checker.Finding, error) {
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
	if n.IsUnreadable() {
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
	n.ReportUnknownFields()
	s.checkAddrs(n)
	return s, n.Findings()
}

func parseEntry(n *checker.Node) EntrySettings {
	e := EntrySettings{
		callers:  n.Addr("callers"),
		controls: n.Addrs("controls", 1),
		limits: Limits{
			maxBodyBytes: defaultMaxBodyBytes, maxConns: defaultMaxConns, maxUnreadBytes: defaultMaxUnreadBytes,
			maxBufferedBytes: defaultMaxBufferedBytes,
			readTimeout:      defaultReadTimeout, idleTimeout: defaultIdleTimeout, writeTimeout: defaultWriteTimeout,
		},
	}
	if !n.Has("limits") {
		return e
	}
	l := n.Object("limits")
	optionalSize(l, "body", &e.limits.maxBodyBytes)
	optionalSize(l, "unread", &e.limits.maxUnreadBytes)
	optionalSize(l, "buffered", &e.limits.maxBufferedBytes)
	if l.Has("conns") {
		e.limits.maxConns = l.Count("conns", 1, maxConns)
	}
	optionalDuration(l, "header", &e.limits.readTimeout)
	optionalDuration(l, "idle", &e.limits.idleTimeout)
	optionalDuration(l, "write", &e.limits.writeTimeout)
	l.ReportUnknownFields()
	return e
}

func optionalSize(n *checker.Node, key string, p *int) {
	if n.Has(key) {
		*p = n.Size(key)
	}
}

func optionalDuration(n *checker.Node, key string, p *time.Duration) {
	if n.Has(key) {
		*p = n.Duration(key)
	}
}

func parseControl(n *checker.Node, dir string) ControlSettings {
	c := ControlSettings{
		id:         uint64(n.Count("id", 1, maxID)),
		cluster:    n.Name("cluster"),
		dataFolder: resolvePath(dir, n.String("folder")),
		operators:  n.Addr("operators"),
		tokensFile: resolvePath(dir, n.String("tokens")),
	}
	if n.Has("tls") {
		t := n.Object("tls")
		c.tls = TLSFiles{certFile: resolvePath(dir, t.String("cert")), keyFile: resolvePath(dir, t.String("key"))}
		t.ReportUnknownFields()
	}
	for _, m := range n.Objects("members", 0) {
		c.members = append(c.members, Member{id: uint64(m.Count("id", 1, maxID)), addr: m.Addr("addr")})
		m.ReportUnknownFields()
	}
	checkMembers(n, c.members)
	s := n.Object("store")
	c.store = StoreLimits{
		loadsPerSecond: s.Rate("rate"),
		parallel:       s.Count("parallel", 1, maxLoads),
		inflight:       s.Count("inflight", 1, maxLoads),
		loadTime:       s.Duration("load"),
	}
	if c.store.inflight > 0 && c.store.inflight < c.store.parallel {
		s.Add("inflight", "is below parallel")
	}
	s.ReportUnknownFields()
	return c
}

func resolvePath(dir, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
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

// listenAddr is an address and the field that sets it.
type listenAddr struct {
	field string
	addr  string
}

// listeners returns the addresses that the process listens on.
func (s *Settings) listeners() []listenAddr {
	list := []listenAddr{{"peers", s.peers}, {"metrics", s.metrics}}
	if s.role == RoleEntry {
		return append(list, listenAddr{"callers", s.entry.callers})
	}
	return append(list, listenAddr{"operators", s.control.operators})
}

func (s *Settings) checkAddrs(n *checker.Node) {
	list := s.listeners()
	for i, l := range list {
		for _, other := range list[:i] {
			if l.addr != "" && l.addr == other.addr {
				n.Add(l.field, fmt.Sprintf("%q is the address of %s too", l.addr, other.field))
			}
		}
	}
}
