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
	team        string
	zones       []string
	instances   []instance
	numControls int
	storeLimits storeLimits
	model       model
	classes     []configurer.ClassSpec
	services    []configurer.ServiceSpec
}

// Team returns the name of the deployment.
func (a *Answers) Team() string { return a.team }

// instance is a machine that runs processes.
type instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	IP      string `json:"addr"`
	HasDisk bool   `json:"disk,omitempty"`
}

type storeLimits struct {
	Rate     float64 `json:"rate"`
	Parallel int     `json:"parallel"`
	InFlight int     `json:"inflight"`
	LoadTime string  `json:"load"`
}

type model struct {
	Name     string   `json:"name"`
	Classes  []string `json:"classes"`
	Engines  int      `json:"engines"`
	Adapters int      `json:"adapters"`
	// Fenced is which engines, all, some or none, reject orders with a stale fence number.
	Fenced string `json:"fenced"`
}

// Bounds of answers.
const (
	maxControls = 5
	maxLoads    = 10_000
	maxEngines  = 10_000
	maxAdapters = 1_000_000
	// maxInstanceName, in bytes, leaves room for the prefix of process names.
	maxInstanceName = 50
)

// Parse reads answers, which are valid only without findings.
func Parse(file string, b []byte) (*Answers, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsUnreadable() {
		return nil, n.Findings()
	}
	a := &Answers{team: n.Name("team"), zones: n.Names("zones", 1)}
	a.parseInstances(n)
	a.numControls = n.Count("controls", 1, maxControls)
	if a.numControls%2 == 0 && a.numControls > 0 {
		n.Add("controls", fmt.Sprintf("%d is even; a quorum needs 1, 3 or 5", a.numControls))
	}
	a.parseStore(n.Object("store"))
	a.parseClasses(n)
	a.parseModel(n.Object("model"))
	a.parseServices(n)
	n.ReportUnknownFields()
	a.checkZones(n)
	a.checkDisks(n)
	return a, n.Findings()
}

func (a *Answers) parseInstances(n *checker.Node) {
	for _, o := range n.Objects("instances", 1) {
		inst := instance{Name: o.Name("name"), Zone: o.Name("zone"), IP: o.IP("addr"), HasDisk: o.Bool("disk")}
		o.ReportUnknownFields()
		if len(inst.Name) > maxInstanceName {
			o.Add("name", fmt.Sprintf("is longer than %d", maxInstanceName))
		}
		if inst.Zone != "" && len(a.zones) > 0 && !slices.Contains(a.zones, inst.Zone) {
			o.Add("zone", fmt.Sprintf("%q is not among the zones", inst.Zone))
		}
		for j, other := range a.instances {
			if inst.Name != "" && inst.Name == other.Name {
				o.Add("name", fmt.Sprintf("%q is that of instances[%d] too", inst.Name, j))
			}
			if inst.IP != "" && inst.IP == other.IP {
				o.Add("addr", fmt.Sprintf("%q is that of instances[%d] too", inst.IP, j))
			}
		}
		a.instances = append(a.instances, inst)
	}
}

func (a *Answers) parseStore(n *checker.Node) {
	a.storeLimits = storeLimits{
		Rate: n.Rate("rate"), Parallel: n.Count("parallel", 1, maxLoads), InFlight: n.Count("inflight", 1, maxLoads),
		LoadTime: formatDuration(n.Duration("load")),
	}
	if a.storeLimits.InFlight > 0 && a.storeLimits.InFlight < a.storeLimits.Parallel {
		n.Add("inflight", "is below parallel")
	}
	n.ReportUnknownFields()
}

func formatDuration(d time.Duration) string {
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
		spec.First, spec.Total = formatDuration(first), formatDuration(total)
		o.ReportUnknownFields()
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
	n.ReportUnknownFields()
}

// parseClassNames returns a service's classes, the default first.
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
				Path:       c.String("path"),
				Idempotent: c.Bool("idempotent"),
			}
			if call.Path != "" && call.Path[0] != '/' {
				c.Add("path", "must start with /")
			}
			c.ReportUnknownFields()
			spec.Calls = append(spec.Calls, call)
		}
		o.ReportUnknownFields()
		duplicate := spec.Name == a.model.Name
		for _, s := range a.services {
			duplicate = duplicate || s.Name == spec.Name
		}
		if duplicate && spec.Name != "" {
			o.Add("name", fmt.Sprintf("%q stands twice", spec.Name))
		}
		a.services = append(a.services, spec)
	}
}

// checkZones reports data centres without instances.
func (a *Answers) checkZones(n *checker.Node) {
	for i, zone := range a.zones {
		if !slices.ContainsFunc(a.instances, func(inst instance) bool { return inst.Zone == zone }) {
			n.Add(fmt.Sprintf("zones[%d]", i), fmt.Sprintf("no instance lives in %q", zone))
		}
	}
}

func (a *Answers) checkDisks(n *checker.Node) {
	disks := 0
	for _, inst := range a.instances {
		if inst.HasDisk {
			disks++
		}
	}
	if disks < a.numControls {
		n.Add("controls", fmt.Sprintf("%d control replicas need as many instances with a disk, there are %d", a.numControls, disks))
	}
}
