package questioner

import (
	"fmt"
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/checker"
)

// Answers describes a team's deployment.
type Answers struct {
	team      string
	zones     []string
	instances []instance
	controls  int
	store     store
	model     model
	classes   []configurer.ClassSpec
	services  []configurer.ServiceSpec
}

// Team returns the team's name, which also names the deployment's cluster.
func (a *Answers) Team() string { return a.team }

// instance is a machine that runs entry and control processes.
type instance struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	Disk bool   `json:"disk,omitempty"`
}

type store struct {
	Rate     float64 `json:"rate"`
	Parallel int     `json:"parallel"`
	InFlight int     `json:"inflight"`
	Load     string  `json:"load"`
}

type model struct {
	Name     string   `json:"name"`
	Classes  []string `json:"classes"`
	Engines  int      `json:"engines"`
	Adapters int      `json:"adapters"`
	// Fenced says whether all, some or none of the engines reject orders with a stale fence number.
	Fenced string `json:"fenced"`
}

// Bounds of answers.
const (
	maxControls = 5
	maxLoads    = 10_000
	maxEngines  = 10_000
	maxAdapters = 1_000_000
	// maxName is in bytes; the names of an instance's processes add a prefix and must still be valid names.
	maxName = 50
)

// Parse reads answers; they are valid only if there are no findings.
func Parse(file string, b []byte) (*Answers, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsBroken() {
		return nil, n.Findings()
	}
	a := &Answers{team: n.Name("team"), zones: n.Names("zones", 1)}
	a.parseInstances(n)
	a.controls = n.Count("controls", 1, maxControls)
	if a.controls%2 == 0 && a.controls > 0 {
		n.Add("controls", fmt.Sprintf("%d is even; a quorum needs 1, 3 or 5", a.controls))
	}
	a.parseStore(n.Object("store"))
	a.parseClasses(n)
	a.parseModel(n.Object("model"))
	a.parseServices(n)
	n.End()
	a.checkZones(n)
	a.checkDisks(n)
	return a, n.Findings()
}

func (a *Answers) parseInstances(n *checker.Node) {
	for _, o := range n.Objects("instances", 1) {
		i := instance{Name: o.Name("name"), Zone: o.Name("zone"), Addr: o.IP("addr"), Disk: o.Bool("disk")}
		o.End()
		if len(i.Name) > maxName {
			o.Add("name", fmt.Sprintf("is longer than %d", maxName))
		}
		if i.Zone != "" && len(a.zones) > 0 && !slices.Contains(a.zones, i.Zone) {
			o.Add("zone", fmt.Sprintf("%q is not among the zones", i.Zone))
		}
		for k, other := range a.instances {
			if i.Name != "" && i.Name == other.Name {
				o.Add("name", fmt.Sprintf("%q is that of instances[%d] too", i.Name, k))
			}
			if i.Addr != "" && i.Addr == other.Addr {
				o.Add("addr", fmt.Sprintf("%q is that of instances[%d] too", i.Addr, k))
			}
		}
		a.instances = append(a.instances, i)
	}
}

func (a *Answers) parseStore(n *checker.Node) {
	a.store = store{
		Rate: n.Rate("rate"), Parallel: n.Count("parallel", 1, maxLoads), InFlight: n.Count("inflight", 1, maxLoads),
		Load: textOf(n.Duration("load")),
	}
	if a.store.InFlight > 0 && a.store.InFlight < a.store.Parallel {
		n.Add("inflight", "is below parallel")
	}
	n.End()
}

func textOf(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func (a *Answers) parseClasses(n *checker.Node) {
	for _, o := range n.Objects("classes", 1) {
		spec := configurer.ClassSpec{Name: o.Name("name"), Urgent: o.Bool("urgent"), Long: o.Bool("long")}
		var first, total time.Duration
		if o.Has("first") {
			first = o.Duration("first")
		}
		if o.Has("total") {
			total = o.Duration("total")
		}
		if total > 0 && first > total {
			o.Add("first", "is above total")
		}
		spec.First, spec.Total = textOf(first), textOf(total)
		o.End()
		if slices.ContainsFunc(a.classes, func(c configurer.ClassSpec) bool { return c.Name == spec.Name }) {
			o.Add("name", fmt.Sprintf("%q stands twice", spec.Name))
		}
		a.classes = append(a.classes, spec)
	}
}

func (a *Answers) parseModel(n *checker.Node) {
	a.model = model{
		Name:     n.Name("name"),
		Classes:  a.parseClassNames(n),
		Engines:  n.Count("engines", 1, maxEngines),
		Adapters: n.Count("adapters", 0, maxAdapters),
		Fenced:   n.Choice("fenced", "all", "some", "none"),
	}
	n.End()
}

// parseClassNames returns the classes that a service accepts, the default first.
func (a *Answers) parseClassNames(n *checker.Node) []string {
	names := n.Names("classes", 1)
	for i, name := range names {
		if !slices.ContainsFunc(a.classes, func(c configurer.ClassSpec) bool { return c.Name == name }) {
			n.Add(fmt.Sprintf("classes[%d]", i), fmt.Sprintf("no class is named %q", name))
		}
	}
	return names
}

func (a *Answers) parseServices(n *checker.Node) {
	for _, o := range n.Objects("services", 0) {
		spec := configurer.ServiceSpec{Name: o.Name("name"), Kind: configurer.KindPlain, Classes: a.parseClassNames(o)}
		o.Count("servers", 1, maxEngines)
		for _, c := range o.Objects("calls", 1) {
			call := configurer.CallSpec{
				Method:     c.Choice("method", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
				Path:       c.Text("path"),
				Idempotent: c.Bool("idempotent"),
			}
			if call.Path != "" && call.Path[0] != '/' {
				c.Add("path", "must start with /")
			}
			c.End()
			spec.Calls = append(spec.Calls, call)
		}
		o.End()
		taken := spec.Name == a.model.Name
		for _, s := range a.services {
			taken = taken || s.Name == spec.Name
		}
		if taken && spec.Name != "" {
			o.Add("name", fmt.Sprintf("%q stands twice", spec.Name))
		}
		a.services = append(a.services, spec)
	}
}

// checkZones reports data centres without instances.
func (a *Answers) checkZones(n *checker.Node) {
	for i, zone := range a.zones {
		if !slices.ContainsFunc(a.instances, func(in instance) bool { return in.Zone == zone }) {
			n.Add(fmt.Sprintf("zones[%d]", i), fmt.Sprintf("no instance lives in %q", zone))
		}
	}
}

func (a *Answers) checkDisks(n *checker.Node) {
	disks := 0
	for _, i := range a.instances {
		if i.Disk {
			disks++
		}
	}
	if disks < a.controls {
		n.Add("controls", fmt.Sprintf("%d control replicas need as many instances with a disk, there are %d", a.controls, disks))
	}
}
