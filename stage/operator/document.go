package operator

import (
	"encoding/json"
	"math"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/checker"
)

// parseDoc parses a configuration and checks its syntax; only the control process can check references.
func parseDoc(file string, b []byte) (configurer.Doc, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsUnreadable() {
		return configurer.Doc{}, n.Findings()
	}
	for _, o := range n.Objects("classes", 0) {
		checkName(o, "name")
		o.Bool("urgent")
		o.Bool("long")
		for _, key := range []string{"first", "total"} {
			if o.Has(key) {
				o.Duration(key)
			}
		}
		o.ReportUnknownFields()
	}
	for _, o := range n.Objects("services", 0) {
		checkName(o, "name")
		o.Choice("kind", string(configurer.KindModel), string(configurer.KindPlain))
		o.Strings("classes", 1)
		for _, call := range o.Objects("calls", 0) {
			call.String("method")
			call.String("path")
			call.Bool("idempotent")
			call.ReportUnknownFields()
		}
		o.ReportUnknownFields()
	}
	for _, o := range n.Objects("adapters", 0) {
		parseAdapter(o)
	}
	n.ReportUnknownFields()
	var doc configurer.Doc
	if len(n.Findings()) == 0 {
		if err := json.Unmarshal(b, &doc); err != nil {
			n.Add("", err.Error())
		}
	}
	return doc, n.Findings()
}

func parseAdapter(o *checker.Node) {
	checkName(o, "name")
	checkName(o, "service")
	if o.Has("class") {
		checkName(o, "class")
	}
	if o.Has("current") {
		o.Count("current", 0, math.MaxInt32)
	}
	for _, v := range o.Objects("versions", 0) {
		v.Count("number", 1, math.MaxInt32)
		v.String("source")
		v.String("digest")
		v.ReportUnknownFields()
	}
	o.ReportUnknownFields()
}

// checkName checks a name by the rules of package configurer.
func checkName(n *checker.Node, key string) {
	if s := n.String(key); s != "" {
		if reason := configurer.CheckName(s); reason != "" {
			n.Add(key, reason)
		}
	}
}
