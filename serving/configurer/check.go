package configurer

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Limits of a change; maxSourceBytes bounds a call's path too.
const (
	maxChangeObjects      = 5000
	maxNameBytes          = 64
	maxSourceBytes        = 1024
	maxDigestBytes        = 128
	maxVersionsPerAdapter = 256
	maxCallsPerService    = 128
	maxClassesPerService  = 32
	maxFindings           = 200
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checker collects the findings of one change.
type checker struct {
	findings []Finding
}

func (c *checker) addFinding(path, format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
	}
}

// CheckName returns why the name of an object is invalid, or "".
func CheckName(name string) string {
	switch {
	case name == "":
		return "is missing"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("is longer than %d characters", maxNameBytes)
	case !namePattern.MatchString(name):
		return "must be of a-z, 0-9, '.', '_' and '-', and begin and end with a letter or digit"
	default:
		return ""
	}
}

func (c *checker) checkName(path, name string, seen map[string]bool) {
	if reason := CheckName(name); reason != "" {
		c.addFinding(path+".name", "%s", reason)
	}
	if seen[name] {
		c.addFinding(path+".name", "%q stands twice", name)
	}
	seen[name] = true
}

// checkFields checks the change without the catalog.
func (c *checker) checkFields(ch Change) {
	n := len(ch.Put.Classes) + len(ch.Put.Services) + len(ch.Put.Adapters) + len(ch.Delete)
	if n > maxChangeObjects {
		c.addFinding("doc", "has %d objects, more than %d; split the change", n, maxChangeObjects)
		return
	}
	seen := make(map[string]bool)
	for i, s := range ch.Put.Classes {
		c.checkClass(fmt.Sprintf("doc.classes[%d]", i), s, seen)
	}
	seen = make(map[string]bool)
	for i, s := range ch.Put.Services {
		c.checkService(fmt.Sprintf("doc.services[%d]", i), s, seen)
	}
	seen = make(map[string]bool)
	for i, s := range ch.Put.Adapters {
		c.checkAdapter(fmt.Sprintf("doc.adapters[%d]", i), s, seen)
	}
}

func (c *checker) checkClass(path string, s ClassSpec, seen map[string]bool) {
	c.checkName(path, s.Name, seen)
	first, err := parseBudget(s.First)
	if err != nil || first < 0 {
		c.addFinding(path+".first", `%q is not a duration such as "800ms"`, s.First)
	}
	total, err := parseBudget(s.Total)
	if err != nil || total < 0 {
		c.addFinding(path+".total", `%q is not a duration such as "30s"`, s.Total)
	}
	if total > 0 && first > total {
		c.addFinding(path+".first", "is longer than total")
	}
}

func (c *checker) checkService(path string, s ServiceSpec, seen map[string]bool) {
	c.checkName(path, s.Name, seen)
	if s.Kind != KindModel && s.Kind != KindPlain {
		c.addFinding(path+".kind", `%q is neither "model" nor "plain"`, s.Kind)
	}
	if len(s.Classes) == 0 {
		c.addFinding(path+".classes", "is empty; the first is the default class")
	}
	if len(s.Classes) > maxClassesPerService {
		c.addFinding(path+".classes", "has more than %d", maxClassesPerService)
	}
	if len(s.Calls) > 0 && s.Kind == KindModel {
		c.addFinding(path+".calls", "are declared for plain services only")
	}
	if len(s.Calls) > maxCallsPerService {
		c.addFinding(path+".calls", "has more than %d", maxCallsPerService)
	}
	for i, call := range s.Calls {
		callPath := fmt.Sprintf("%s.calls[%d]", path, i)
		if !methodPattern.MatchString(call.Method) {
			c.addFinding(callPath+".method", "%q is not an HTTP method in capitals", call.Method)
		}
		if !strings.HasPrefix(call.Path, "/") || len(call.Path) > maxSourceBytes {
			c.addFinding(callPath+".path", "%q does not begin with / or is too long", call.Path)
		}
	}
}

func (c *checker) checkAdapter(path string, s AdapterSpec, seen map[string]bool) {
	c.checkName(path, s.Name, seen)
	if s.Service == "" {
		c.addFinding(path+".service", "is missing")
	}
	if s.Current < 0 {
		c.addFinding(path+".current", "is negative")
	}
	numbers := make(map[int]bool, len(s.Versions))
	for i, v := range s.Versions {
		versionPath := fmt.Sprintf("%s.versions[%d]", path, i)
		if v.Number < 1 {
			c.addFinding(versionPath+".number", "%d is not a number from 1", v.Number)
		}
		if numbers[v.Number] {
			c.addFinding(versionPath+".number", "%d stands twice", v.Number)
		}
		numbers[v.Number] = true
		c.checkRequiredText(versionPath+".source", v.Source, maxSourceBytes)
		c.checkRequiredText(versionPath+".digest", v.Digest, maxDigestBytes)
	}
}

func (c *checker) checkRequiredText(path, s string, maxBytes int) {
	if s == "" {
		c.addFinding(path, "is missing")
	}
	if len(s) > maxBytes {
		c.addFinding(path, "is longer than %d characters", maxBytes)
	}
}

// checkReferences checks that each object that the change refers to exists after it.
func (c *checker) checkReferences(ch Change, next *Catalog) {
	for i, s := range ch.Put.Services {
		c.checkServiceReferences(fmt.Sprintf("doc.services[%d]", i), s, next)
	}
	for i, s := range ch.Put.Adapters {
		c.checkAdapterReferences(fmt.Sprintf("doc.adapters[%d]", i), s, next)
	}
}

func (c *checker) checkServiceReferences(path string, s ServiceSpec, next *Catalog) {
	for i, name := range s.Classes {
		if _, ok := next.Class(name); !ok {
			c.addFinding(fmt.Sprintf("%s.classes[%d]", path, i), "no class named %q", name)
		}
	}
	if _, ok := next.Adapter(s.Name); ok {
		c.addFinding(path+".name", "%q is the name of an adapter", s.Name)
	}
}

func (c *checker) checkAdapterReferences(path string, s AdapterSpec, next *Catalog) {
	service, ok := next.Service(s.Service)
	switch {
	case s.Service == "":
	case !ok:
		c.addFinding(path+".service", "no service named %q", s.Service)
	case service.kind != KindModel:
		c.addFinding(path+".service", "%q is not a model service", s.Service)
	case s.Class != "" && !service.AllowsClass(s.Class):
		c.addFinding(path+".class", "service %q does not allow class %q", s.Service, s.Class)
	}
	if _, ok := next.Service(s.Name); ok {
		c.addFinding(path+".name", "%q is the name of a service", s.Name)
	}
	a, _ := next.Adapter(s.Name)
	if _, ok := a.Version(s.Current); !ok && s.Current > 0 {
		c.addFinding(path+".current", "no version %d", s.Current)
	}
	if len(a.versions) > maxVersionsPerAdapter {
		c.addFinding(path+".versions", "would be more than %d", maxVersionsPerAdapter)
	}
}

// checkDependents checks that no remaining object uses one that the change deletes or narrows.
func (c *checker) checkDependents(ch Change, old, next *Catalog) {
	deleted := make(map[Ref]string, len(ch.Delete))
	for i, ref := range ch.Delete {
		deleted[ref] = fmt.Sprintf("delete[%d]", i)
	}
	for _, s := range next.Services() {
		for _, name := range s.classes {
			if path, ok := deleted[Ref{ObjectClass, name}]; ok {
				c.addFinding(path, "class %q is used by service %q", name, s.name)
			}
		}
	}
	narrowed := narrowedServices(ch, old)
	needsScan := len(narrowed) > 0
	for ref := range deleted {
		needsScan = needsScan || ref.Kind == ObjectService
	}
	if needsScan {
		next.adapters.each(func(a Adapter) { c.checkDependentAdapter(a, deleted, narrowed, next) })
	}
}

// checkDependentAdapter checks one adapter against deleted and narrowed services.
func (c *checker) checkDependentAdapter(a Adapter, deleted map[Ref]string, narrowed map[string]string, next *Catalog) {
	if path, ok := deleted[Ref{ObjectService, a.service}]; ok {
		c.addFinding(path, "service %q is used by adapter %q", a.service, a.name)
		return
	}
	path, ok := narrowed[a.service]
	if !ok {
		return
	}
	s, _ := next.Service(a.service)
	if s.kind != KindModel {
		c.addFinding(path+".kind", "adapter %q needs a model service", a.name)
	}
	if a.class != "" && !s.AllowsClass(a.class) {
		c.addFinding(path+".classes", "class %q is used by adapter %q", a.class, a.name)
	}
}

// narrowedServices returns the paths of services that lose a class or change kind.
func narrowedServices(ch Change, old *Catalog) map[string]string {
	out := make(map[string]string)
	for i, s := range ch.Put.Services {
		before, ok := old.Service(s.Name)
		if !ok {
			continue
		}
		losesClass := slices.ContainsFunc(before.classes, func(name string) bool { return !slices.Contains(s.Classes, name) })
		if losesClass || before.kind != s.Kind {
			out[s.Name] = fmt.Sprintf("doc.services[%d]", i)
		}
	}
	return out
}
