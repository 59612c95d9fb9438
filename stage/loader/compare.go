package loader

import (
	"fmt"
	"net"
	"slices"

	"redwingstage.org/stage/checker"
)

// compare checks the settings of all processes of a deployment for conflicts.
func compare(list []*Settings) []checker.Finding {
	c := &comparer{owners: make(map[string]*Settings), names: make(map[string]*Settings)}
	for _, s := range list {
		c.checkNames(s)
		c.checkAddrs(s)
		c.checkFolder(s)
	}
	for _, s := range list {
		c.checkZones(s, list)
		c.checkControls(s, list)
	}
	return c.findings
}

type comparer struct {
	findings []checker.Finding
	owners   map[string]*Settings // by address
	names    map[string]*Settings
	folders  []*Settings
	empty    []string // data centres already reported as empty
}

func (c *comparer) add(s *Settings, path, reason string) {
	c.findings = append(c.findings, checker.NewFinding(s.file, path, reason))
}

func (c *comparer) checkNames(s *Settings) {
	if s.name == "" {
		return
	}
	if other, ok := c.names[s.name]; ok {
		c.add(s, "name", fmt.Sprintf("%q is the name in %s too", s.name, other.file))
		return
	}
	c.names[s.name] = s
}

func (c *comparer) checkAddrs(s *Settings) {
	for _, l := range s.listeners() {
		if l.addr == "" {
			continue
		}
		if other, ok := c.owners[l.addr]; ok && other != s {
			c.add(s, l.key, fmt.Sprintf("%q is an address in %s too", l.addr, other.file))
			continue
		}
		c.owners[l.addr] = s
	}
}

func (c *comparer) checkFolder(s *Settings) {
	if s.role != RoleControl {
		return
	}
	for _, other := range c.folders {
		if s.control.folder != "" && s.control.folder == other.control.folder && host(s) == host(other) {
			c.add(s, "folder", fmt.Sprintf("is the data folder in %s too", other.file))
		}
		if s.control.id != 0 && s.control.id == other.control.id {
			c.add(s, "id", fmt.Sprintf("%d is the id in %s too", s.control.id, other.file))
		}
	}
	c.folders = append(c.folders, s)
}

// checkZones reports each data centre without processes once, in the first file that names it.
func (c *comparer) checkZones(s *Settings, list []*Settings) {
	for i, zone := range s.zones {
		lives := func(o *Settings) bool { return o.zone == zone }
		if slices.ContainsFunc(list, lives) || slices.Contains(c.empty, zone) {
			continue
		}
		c.empty = append(c.empty, zone)
		c.add(s, fmt.Sprintf("zones[%d]", i), fmt.Sprintf("no process lives in %q", zone))
	}
}

// checkControls checks the control replicas' addresses that s lists, if any control settings are among the files.
func (c *comparer) checkControls(s *Settings, list []*Settings) {
	var controls []string
	for _, o := range list {
		if o.role == RoleControl {
			controls = append(controls, o.peers)
		}
	}
	if len(controls) == 0 {
		return
	}
	for i, addr := range s.entry.controls {
		if !slices.Contains(controls, addr) {
			c.add(s, fmt.Sprintf("controls[%d]", i), fmt.Sprintf("%q is the peers address of no control replica", addr))
		}
	}
	for i, m := range s.control.members {
		if !slices.Contains(controls, m.addr) {
			c.add(s, fmt.Sprintf("members[%d].addr", i), fmt.Sprintf("%q is the peers address of no control replica", m.addr))
		}
	}
}

// host returns the IP number that a process listens on.
func host(s *Settings) string {
	h, _, err := net.SplitHostPort(s.peers)
	if err != nil {
		return ""
	}
	return h
}
