package loader

import (
	"fmt"
	"net"
	"slices"

	"redwingstage.org/stage/checker"
)

// findConflicts checks the settings of all processes of a deployment for conflicts.
func findConflicts(list []*Settings) []checker.Finding {
	c := &conflictChecker{byAddr: make(map[string]*Settings), byName: make(map[string]*Settings)}
	for _, s := range list {
		c.checkNames(s)
		c.checkAddrs(s)
		c.checkFolderAndID(s)
	}
	for _, s := range list {
		c.checkZones(s, list)
		c.checkControls(s, list)
	}
	return c.findings
}

type conflictChecker struct {
	findings   []checker.Finding
	byAddr     map[string]*Settings
	byName     map[string]*Settings
	controls   []*Settings
	emptyZones []string // data centres already reported as empty
}

func (c *conflictChecker) add(s *Settings, path, reason string) {
	c.findings = append(c.findings, checker.NewFinding(s.file, path, reason))
}

func (c *conflictChecker) checkNames(s *Settings) {
	if s.name == "" {
		return
	}
	if other, ok := c.byName[s.name]; ok {
		c.add(s, "name", fmt.Sprintf("%q is the name in %s too", s.name, other.file))
		return
	}
	c.byName[s.name] = s
}

func (c *conflictChecker) checkAddrs(s *Settings) {
	for _, l := range s.listeners() {
		if l.addr == "" {
			continue
		}
		if other, ok := c.byAddr[l.addr]; ok && other != s {
			c.add(s, l.field, fmt.Sprintf("%q is an address in %s too", l.addr, other.file))
			continue
		}
		c.byAddr[l.addr] = s
	}
}

func (c *conflictChecker) checkFolderAndID(s *Settings) {
	if s.role != RoleControl {
		return
	}
	for _, other := range c.controls {
		if s.control.dataFolder != "" && s.control.dataFolder == other.control.dataFolder && host(s) == host(other) {
			c.add(s, "folder", fmt.Sprintf("is the data folder in %s too", other.file))
		}
		if s.control.id != 0 && s.control.id == other.control.id {
			c.add(s, "id", fmt.Sprintf("%d is the id in %s too", s.control.id, other.file))
		}
	}
	c.controls = append(c.controls, s)
}

// checkZones reports each data centre without processes once, in the first file that names it.
func (c *conflictChecker) checkZones(s *Settings, list []*Settings) {
	for i, zone := range s.zones {
		inZone := func(o *Settings) bool { return o.zone == zone }
		if slices.ContainsFunc(list, inZone) || slices.Contains(c.emptyZones, zone) {
			continue
		}
		c.emptyZones = append(c.emptyZones, zone)
		c.add(s, fmt.Sprintf("zones[%d]", i), fmt.Sprintf("no process lives in %q", zone))
	}
}

// checkControls checks the control replicas' addresses that s lists, if any control settings are among the files.
func (c *conflictChecker) checkControls(s *Settings, list []*Settings) {
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
