package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
)

// Page sizes, in items.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

type listBody struct {
	Revision uint64                    `json:"revision"`
	Classes  *[]configurer.ClassSpec   `json:"classes,omitempty"`
	Services *[]configurer.ServiceSpec `json:"services,omitempty"`
	Adapters *[]configurer.AdapterSpec `json:"adapters,omitempty"`
	Class    *configurer.ClassSpec     `json:"class,omitempty"`
	Service  *configurer.ServiceSpec   `json:"service,omitempty"`
	Adapter  *configurer.AdapterSpec   `json:"adapter,omitempty"`
	Next     string                    `json:"next,omitempty"`
}

// get reads the configuration, which is the latest, since execute has confirmed leadership.
func (c *Controller) get(req opRequest) opResponse {
	catalog := c.machine.catalog()
	body := listBody{Revision: catalog.Revision()}
	name := req.Args["path.name"]
	switch {
	case name != "":
		return getOne(catalog, req.Op, name, body)
	case req.Op == opClasses:
		list := []configurer.ClassSpec{}
		for _, v := range catalog.Classes() {
			list = append(list, v.Spec())
		}
		body.Classes = &list
	case req.Op == opServices:
		list := []configurer.ServiceSpec{}
		for _, v := range catalog.Services() {
			list = append(list, v.Spec())
		}
		body.Services = &list
	default:
		return getAdapters(catalog, req, body)
	}
	return success(http.StatusOK, body)
}

func getAdapters(catalog *configurer.Catalog, req opRequest, body listBody) opResponse {
	var f findings
	limit := f.limit(req.Args)
	if len(f) > 0 {
		return f.response()
	}
	page := catalog.Page(req.Args["after"], limit+1)
	if len(page) > limit {
		page = page[:limit]
		body.Next = page[limit-1].Name()
	}
	list := []configurer.AdapterSpec{}
	for _, v := range page {
		list = append(list, v.Spec())
	}
	body.Adapters = &list
	return success(http.StatusOK, body)
}

func getOne(catalog *configurer.Catalog, op opKind, name string, body listBody) opResponse {
	found := false
	switch op {
	case opClasses:
		if v, ok := catalog.Class(name); ok {
			spec := v.Spec()
			body.Class, found = &spec, true
		}
	case opServices:
		if v, ok := catalog.Service(name); ok {
			spec := v.Spec()
			body.Service, found = &spec, true
		}
	default:
		if v, ok := catalog.Adapter(name); ok {
			spec := v.Spec()
			body.Adapter, found = &spec, true
		}
	}
	if !found {
		return failure(http.StatusNotFound, errorDetail{
			Code: "not_found", Message: "nothing is named " + strconv.Quote(name), Revision: body.Revision,
		})
	}
	return success(http.StatusOK, body)
}

func newRecordJSON(r auditor.Record) recordJSON {
	out := recordJSON{
		Seq: r.Seq, Revision: r.Revision, At: r.At.UTC().Format(time.RFC3339), Operator: r.Operator, From: r.ClientAddr,
		Change: r.Change, Action: r.Action, Items: []itemJSON{},
	}
	for _, d := range r.Items {
		out.Items = append(out.Items, itemJSON{
			Kind: d.Ref.Kind, Name: d.Ref.Name, Before: decodeItem(d.Ref.Kind, d.Before), After: decodeItem(d.Ref.Kind, d.After),
		})
	}
	return out
}

func decodeItem(kind configurer.ObjectKind, data []byte) any {
	if data == nil {
		return nil
	}
	v, err := configurer.Decode(kind, data)
	if err != nil {
		return err.Error()
	}
	return v
}

// readAudit returns a page of the audit trail, as one object or one record per line.
func (c *Controller) readAudit(req opRequest) opResponse {
	var f findings
	q := auditor.Query{
		After: f.number(req.Args, "after", 0), Operator: req.Args["operator"],
		Kind: configurer.ObjectKind(req.Args["kind"]), Name: req.Args["name"],
		Since: f.timestamp(req.Args, "since"), Until: f.timestamp(req.Args, "until"),
	}
	limit := exportPageSize
	if req.Op == opAudit {
		limit = f.limit(req.Args)
	}
	if len(f) > 0 {
		return f.response()
	}
	records, more := c.machine.findAuditRecords(q, limit)
	next := uint64(0)
	if more {
		next = records[len(records)-1].Seq
	}
	list := []recordJSON{}
	for _, r := range records {
		list = append(list, newRecordJSON(r))
	}
	if req.Op == opExport {
		return exportLines(list, next)
	}
	return success(http.StatusOK, struct {
		Records []recordJSON `json:"records"`
		Next    uint64       `json:"next,omitempty"`
	}{list, next})
}

func exportLines(list []recordJSON, next uint64) opResponse {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, r := range list {
		if err := enc.Encode(r); err != nil {
			return failure(http.StatusInternalServerError, errorDetail{Code: "internal", Message: err.Error()})
		}
	}
	return opResponse{Status: http.StatusOK, Body: b.Bytes(), Next: next}
}

type drainJSON struct {
	Change string `json:"change,omitempty"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
}

func (c *Controller) listDrains() opResponse {
	list := []drainJSON{}
	for _, key := range slices.Sorted(maps.Keys(c.machine.drainedKeys())) {
		kind, name, _ := strings.Cut(key, "/")
		list = append(list, drainJSON{Kind: kind, Name: name})
	}
	return success(http.StatusOK, struct {
		Drains []drainJSON `json:"drains"`
	}{list})
}

func (c *Controller) drain(ctx context.Context, req opRequest) opResponse {
	body := drainJSON{Change: req.Args["change"], Kind: req.Args["path.kind"], Name: req.Args["path.name"]}
	var f findings
	if req.Op == opDrain {
		f = decodeStrict(req.Body, &body)
	}
	if body.Kind != "server" && body.Kind != "entry" {
		f.add("kind", strconv.Quote(body.Kind)+` is neither "server" nor "entry"`)
	}
	if reason := configurer.CheckName(body.Name); reason != "" {
		f.add("name", reason)
	}
	if len(f) > 0 {
		return f.response()
	}
	cmd := newCommand(time.Now())
	cmd.Drain = &drainCommand{
		Origin: origin{req.Operator, req.From, body.Change}, Kind: body.Kind, Name: body.Name, Undrain: req.Op == opUndrain,
	}
	if _, failed := c.propose(ctx, cmd); failed != nil {
		return *failed
	}
	return c.listDrains()
}

type replicaJSON struct {
	Change  string `json:"change,omitempty"`
	ID      uint64 `json:"id"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner"`
	Leader  bool   `json:"leader"`
}

// changeReplica adds or removes a replica; the audit record comes first, so that no change goes unrecorded.
func (c *Controller) changeReplica(ctx context.Context, req opRequest) opResponse {
	var f findings
	body := replicaJSON{Change: req.Args["change"], ID: 0}
	cmd := newCommand(time.Now())
	rec := &replicaCommand{Action: auditor.ActionRemoveReplica}
	if req.Op == opAddReplica {
		f = decodeStrict(req.Body, &body)
		rec.Action = auditor.ActionAddReplica
		if body.Addr == "" {
			f.add("addr", "is missing")
		}
	} else {
		body.ID = f.number(req.Args, "path.id", 0)
	}
	if body.ID == 0 && len(f) == 0 {
		f.add("id", "must be at least 1")
	}
	if len(f) > 0 {
		return f.response()
	}
	if l, ok := c.log.(interface{ Transfer(context.Context) error }); ok && req.Op == opRemoveReplica && body.ID == c.cfg.ID {
		// The leader goes last: after a transfer, the next leader removes it.
		if err := l.Transfer(ctx); err != nil {
			return failure(http.StatusUnprocessableEntity, errorDetail{Code: "invalid", Message: err.Error()})
		}
		return c.operate(ctx, req)
	}
	rec.Origin, rec.ID, rec.Addr = origin{req.Operator, req.From, body.Change}, body.ID, body.Addr
	cmd.Replica = rec
	if _, failed := c.propose(ctx, cmd); failed != nil {
		return *failed
	}
	cctx, cancel := context.WithTimeout(ctx, maxInForceTimeout)
	defer cancel()
	var err error
	if req.Op == opAddReplica {
		err = c.log.AddMember(cctx, runner.Member{ID: body.ID, Addr: body.Addr})
	} else {
		err = c.log.RemoveMember(cctx, body.ID)
	}
	if err != nil {
		return failure(http.StatusUnprocessableEntity, errorDetail{Code: "invalid", Message: err.Error()})
	}
	return success(http.StatusOK, struct {
		Replicas []replicaJSON `json:"replicas"`
	}{c.replicas()})
}

func (c *Controller) replicas() []replicaJSON {
	st := c.log.Status()
	out := make([]replicaJSON, 0, len(st.Members))
	for _, m := range st.Members {
		out = append(out, replicaJSON{ID: m.ID, Addr: m.Addr, Learner: m.Learner, Leader: m.ID == st.Leader})
	}
	return out
}

type statusJSON struct {
	Revision    uint64        `json:"revision"`
	Leader      uint64        `json:"leader"`
	LeaderEpoch uint64        `json:"era"`
	Settled     bool          `json:"settled"`
	Replicas    []replicaJSON `json:"replicas"`
	Entries     []entryJSON   `json:"entries"`
	Servers     []serverJSON  `json:"servers"`
}

type entryJSON struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Servers     int    `json:"servers"`
	Draining    bool   `json:"draining"`
}

type serverJSON struct {
	Name     string          `json:"name"`
	Kind     configurer.Kind `json:"kind"`
	Service  string          `json:"service"`
	Addr     string          `json:"addr"`
	Zone     string          `json:"zone"`
	Owner    string          `json:"owner"`
	Epoch    uint64          `json:"epoch"`
	Leaving  bool            `json:"leaving"`
	Draining bool            `json:"draining"`
}

// status reads the leader's state on the control goroutine.
func (c *Controller) status(ctx context.Context) opResponse {
	done := make(chan statusJSON, 1)
	c.hub.post(ctx, func(now time.Time) { done <- c.hub.status(now) })
	select {
	case <-ctx.Done():
		return noLeader()
	case body := <-done:
		body.Replicas = c.replicas()
		return success(http.StatusOK, body)
	}
}

func (h *hub) status(now time.Time) statusJSON {
	out := statusJSON{
		Revision: h.machine.catalogRevision(), Leader: h.log.Status().Leader,
		Entries: []entryJSON{}, Servers: []serverJSON{},
	}
	if !h.isLeading(now) {
		return out
	}
	out.LeaderEpoch, out.Settled = h.leader.leaderEpoch, h.leader.settled
	for _, m := range h.leader.registry.Members() {
		e := entryJSON{
			Name: m.Entry.Name, Addr: m.Entry.Addr, Zone: m.Entry.Zone, Incarnation: m.Entry.Incarnation,
			Servers: m.Servers, Draining: m.Draining,
		}
		if p, ok := h.leader.byHolder[m.Holder]; ok {
			e.Revision = p.ackedCatalog
		}
		out.Entries = append(out.Entries, e)
	}
	for _, name := range h.leader.registry.ServerNames() {
		s, _ := h.leader.registry.Server(name)
		o, _ := h.leader.registry.Owner(name)
		out.Servers = append(out.Servers, serverJSON{
			Name: name, Kind: s.Kind, Service: s.Service, Addr: s.Addr, Zone: s.Zone, Owner: o.Entry, Epoch: o.Epoch,
			Leaving: s.Leaving, Draining: h.machine.isDrained("server/" + name),
		})
	}
	return out
}
