package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
)

type status struct {
	Revision    uint64    `json:"revision"`
	Leader      uint64    `json:"leader"`
	LeaderEpoch uint64    `json:"era"`
	Settled     bool      `json:"settled"`
	Replicas    []replica `json:"replicas"`
	Entries     []entry   `json:"entries"`
	Servers     []server  `json:"servers"`
}

type replica struct {
	ID      uint64 `json:"id"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner"`
	Leader  bool   `json:"leader"`
}

type entry struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Servers  int    `json:"servers"`
	Draining bool   `json:"draining"`
}

type server struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Leaving  bool   `json:"leaving"`
	Draining bool   `json:"draining"`
}

// isDrained reports whether the status reflects a drain or its undo.
func (s status) isDrained(d *drainArgs) bool {
	if d.Kind == "entry" {
		for _, e := range s.Entries {
			if e.Name == d.Name {
				return e.Draining != d.Undo && (d.Undo || e.Servers == 0)
			}
		}
		return !d.Undo
	}
	for _, v := range s.Servers {
		if v.Name == d.Name {
			return v.Draining != d.Undo
		}
	}
	return !d.Undo
}

func (s status) hasReplica(id uint64) bool {
	for _, r := range s.Replicas {
		if r.ID == id {
			return true
		}
	}
	return false
}

func (s status) hasVoter(id uint64) bool {
	for _, r := range s.Replicas {
		if r.ID == id {
			return !r.Learner
		}
	}
	return false
}

func (c *command) status() error {
	b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return err
	}
	var s status
	return c.printResponse(b, &s, func() error { return c.printStatus(s) })
}

func (c *command) printStatus(s status) error {
	state := "settled"
	if !s.Settled {
		state = "not settled after a change of leader"
	}
	if err := c.printf("revision %d, leader %d, %s\n\n", s.Revision, s.Leader, state); err != nil {
		return err
	}
	if err := c.printReplicas(s.Replicas); err != nil {
		return err
	}
	if err := c.printf("\n"); err != nil {
		return err
	}
	t := newTable(c.Out, "ENTRY", "ADDRESS", "DATA CENTRE", "REVISION", "SERVERS", "STATE")
	for _, e := range s.Entries {
		t.row(e.Name, e.Addr, e.Zone, strconv.FormatUint(e.Revision, 10), strconv.Itoa(e.Servers), wordIf(e.Draining, "draining"))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if err := c.printf("\n"); err != nil {
		return err
	}
	t = newTable(c.Out, "SERVER", "KIND", "SERVICE", "ADDRESS", "DATA CENTRE", "OWNER", "STATE")
	for _, v := range s.Servers {
		state := strings.TrimSpace(wordIf(v.Leaving, "leaving ") + wordIf(v.Draining, "draining"))
		t.row(v.Name, v.Kind, v.Service, v.Addr, v.Zone, v.Owner, state)
	}
	return t.flush()
}

func (c *command) printReplicas(list []replica) error {
	t := newTable(c.Out, "REPLICA", "ADDRESS", "STATE")
	for _, r := range list {
		state := "follower"
		if r.Learner {
			state = "learner"
		}
		if r.Leader {
			state = "leader"
		}
		t.row(strconv.FormatUint(r.ID, 10), r.Addr, state)
	}
	return t.flush()
}

// objectList is one or more configuration objects.
type objectList struct {
	Revision uint64                   `json:"revision"`
	Classes  []configurer.ClassSpec   `json:"classes,omitempty"`
	Services []configurer.ServiceSpec `json:"services,omitempty"`
	Adapters []configurer.AdapterSpec `json:"adapters,omitempty"`
	Class    *configurer.ClassSpec    `json:"class,omitempty"`
	Service  *configurer.ServiceSpec  `json:"service,omitempty"`
	Adapter  *configurer.AdapterSpec  `json:"adapter,omitempty"`
	Next     string                   `json:"next,omitempty"`
}

// maxPageSize is the most adapters per page.
const maxPageSize = 1000

func (c *command) get() error {
	g := c.Get
	switch g.Kind {
	case "classes", "services", "adapters":
	case "drains":
		return c.getDrains()
	default:
		return &usageError{fmt.Sprintf("get: %q is none of classes, services, adapters, drains", g.Kind)}
	}
	if g.Limit < 0 {
		return &usageError{fmt.Sprintf("--limit: %d is below 0", g.Limit)}
	}
	if g.Kind == "adapters" && g.Name == "" {
		return c.getAdapters()
	}
	path := "/v1/" + g.Kind
	if g.Name != "" {
		path += "/" + url.PathEscape(g.Name)
	}
	b, err := c.client.send(apiCall{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	var o objectList
	return c.printResponse(b, &o, func() error { return c.printObjects(o) })
}

func (c *command) getDrains() error {
	b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/drains"})
	if err != nil {
		return err
	}
	var r drainList
	return c.printResponse(b, &r, func() error { return c.printDrains(r) })
}

// getAdapters reads pages up to --limit adapters.
func (c *command) getAdapters() error {
	after, remaining := c.Get.After, c.Get.Limit
	all := objectList{}
	for {
		page := maxPageSize
		if c.Get.Limit > 0 {
			page = min(page, remaining)
		}
		q := url.Values{"limit": {strconv.Itoa(page)}}
		if after != "" {
			q.Set("after", after)
		}
		b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/adapters", query: q})
		if err != nil {
			return err
		}
		var o objectList
		if err := json.Unmarshal(b, &o); err != nil {
			return errors.Wrap(err, "read adapters")
		}
		all.Revision, all.Next = o.Revision, o.Next
		all.Adapters = append(all.Adapters, o.Adapters...)
		after, remaining = o.Next, remaining-len(o.Adapters)
		if after == "" || c.Get.Limit > 0 && remaining <= 0 {
			break
		}
	}
	if c.JSON {
		return c.printJSON(all)
	}
	return c.printObjects(all)
}

func (c *command) printObjects(o objectList) error {
	if o.Class != nil {
		o.Classes = append(o.Classes, *o.Class)
	}
	if o.Service != nil {
		o.Services = append(o.Services, *o.Service)
	}
	if o.Adapter != nil {
		o.Adapters = append(o.Adapters, *o.Adapter)
	}
	switch c.Get.Kind {
	case "classes":
		return c.printClasses(o.Classes)
	case "services":
		return c.printServices(o.Services)
	}
	if err := c.printAdapters(o.Adapters); err != nil {
		return err
	}
	if o.Next != "" {
		return c.printf("more with --after %s\n", o.Next)
	}
	return nil
}

func (c *command) printClasses(list []configurer.ClassSpec) error {
	t := newTable(c.Out, "CLASS", "URGENT", "LONG", "FIRST", "TOTAL")
	for _, s := range list {
		t.row(s.Name, wordIf(s.Urgent, "yes"), wordIf(s.Long, "yes"), s.First, s.Total)
	}
	return t.flush()
}

func (c *command) printServices(list []configurer.ServiceSpec) error {
	t := newTable(c.Out, "SERVICE", "KIND", "CLASSES", "CALLS")
	for _, s := range list {
		var calls []string
		for _, call := range s.Calls {
			text := call.Method + " " + call.Path
			if call.Idempotent {
				text += " (idempotent)"
			}
			calls = append(calls, text)
		}
		t.row(s.Name, string(s.Kind), strings.Join(s.Classes, ","), strings.Join(calls, ", "))
	}
	return t.flush()
}

func (c *command) printAdapters(list []configurer.AdapterSpec) error {
	t := newTable(c.Out, "ADAPTER", "SERVICE", "CLASS", "CURRENT", "VERSIONS")
	for _, s := range list {
		var numbers []string
		for _, v := range s.Versions {
			numbers = append(numbers, strconv.Itoa(v.Number))
		}
		t.row(s.Name, s.Service, s.Class, strconv.Itoa(s.Current), strings.Join(numbers, ","))
	}
	return t.flush()
}

type auditPage struct {
	Records []auditRecord `json:"records"`
	Next    uint64        `json:"next,omitempty"`
}

type auditRecord struct {
	Seq      uint64      `json:"seq"`
	Revision uint64      `json:"revision"`
	At       string      `json:"at"`
	Operator string      `json:"operator"`
	From     string      `json:"from"`
	Change   string      `json:"change"`
	Action   string      `json:"action"`
	Items    []auditItem `json:"items"`
}

type auditItem struct {
	objectRef
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (c *command) audit() error {
	a := c.Audit
	q := url.Values{}
	for key, v := range map[string]string{
		"operator": a.Operator, "kind": a.Kind, "name": a.Name, "since": a.Since, "until": a.Until,
	} {
		if v != "" {
			q.Set(key, v)
		}
	}
	if a.After > 0 {
		q.Set("after", strconv.FormatUint(a.After, 10))
	}
	if a.Export {
		b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/audit/export", query: q})
		if err != nil {
			return err
		}
		return c.printExport(b)
	}
	q.Set("limit", strconv.Itoa(a.Limit))
	b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/audit", query: q})
	if err != nil {
		return err
	}
	var r auditPage
	return c.printResponse(b, &r, func() error { return c.printRecords(r) })
}

// printExport prints one record per line; an error on the last line means an incomplete export.
func (c *command) printExport(b []byte) error {
	text := strings.TrimRight(string(b), "\n")
	last := text[strings.LastIndexByte(text, '\n')+1:]
	var body errorBody
	if err := json.Unmarshal([]byte(last), &body); err == nil && body.Error.Code != "" {
		return &apiError{detail: body.Error}
	}
	return c.printf("%s", b)
}

// maxItemsShown is the number of objects in a row of the audit trail.
const maxItemsShown = 4

func (c *command) printRecords(r auditPage) error {
	t := newTable(c.Out, "SEQ", "REVISION", "AT", "OPERATOR", "ACTION", "CHANGE", "ITEMS")
	for _, rec := range r.Records {
		var items []string
		for _, i := range rec.Items[:min(len(rec.Items), maxItemsShown)] {
			items = append(items, i.diffSign()+i.Kind+"/"+i.Name)
		}
		if more := len(rec.Items) - maxItemsShown; more > 0 {
			items = append(items, fmt.Sprintf("and %d more", more))
		}
		t.row(
			strconv.FormatUint(rec.Seq, 10), strconv.FormatUint(rec.Revision, 10), rec.At, rec.Operator, rec.Action,
			rec.Change, strings.Join(items, " "),
		)
	}
	if err := t.flush(); err != nil {
		return err
	}
	if r.Next != 0 {
		return c.printf("more with --after %d\n", r.Next)
	}
	return nil
}

// diffSign returns "+" if created, "-" if deleted, else "".
func (i auditItem) diffSign() string {
	switch {
	case len(i.Before) == 0 && len(i.After) > 0:
		return "+"
	case len(i.After) == 0 && len(i.Before) > 0:
		return "-"
	}
	return ""
}
