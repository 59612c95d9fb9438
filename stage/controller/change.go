package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
)

// applyBody is the JSON body of a configuration change.
type applyBody struct {
	Change  string           `json:"change"`
	Expect  *uint64          `json:"expect"`
	Doc     configurer.Doc   `json:"doc"`
	Delete  []configurer.Ref `json:"delete"`
	Wait    bool             `json:"wait"`
	Timeout string           `json:"timeout"`
	Check   bool             `json:"check"`
}

type appliedBody struct {
	Revision uint64           `json:"revision"`
	Changed  []configurer.Ref `json:"changed"`
	InForce  bool             `json:"inforce"`
}

// decodeStrict decodes JSON; unknown fields and wrong types are findings with their path.
func decodeStrict(data []byte, v any) findings {
	var f findings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var wrong *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case err == nil && dec.More():
		f.add("", "more data after the JSON value")
	case err == nil:
	case errors.As(err, &wrong):
		f.add(wrong.Field, wrong.Value+" where "+wrong.Type.String()+" is expected")
	case errors.As(err, &syntax):
		f.add("byte "+strconv.FormatInt(syntax.Offset, 10), syntax.Error())
	default:
		field, ok := strings.CutPrefix(err.Error(), "json: unknown field ")
		if ok {
			f.add(strings.Trim(field, `"`), "is not a known field")
		} else {
			f.add("", err.Error())
		}
	}
	return f
}

func (c *Controller) apply(ctx context.Context, req opRequest) opResponse {
	var body applyBody
	f := decodeStrict(req.Body, &body)
	if len(f) > 0 {
		return f.response()
	}
	if body.Expect == nil {
		f.add("expect", "is missing; it is the revision that you saw")
	}
	if body.Change == "" && !body.Check {
		f.add("change", "is missing; it is an id that you make, so that the change can be sent again")
	}
	timeout := f.timeout("timeout", body.Timeout)
	if len(f) > 0 {
		return f.response()
	}
	change := configurer.Change{ID: body.Change, ExpectedRevision: *body.Expect, Put: body.Doc, Delete: body.Delete}
	if body.Check {
		return c.checkChange(change)
	}
	action := auditor.ActionApply
	if len(body.Doc.Classes)+len(body.Doc.Services)+len(body.Doc.Adapters) == 0 && len(body.Delete) > 0 {
		action = auditor.ActionDelete
	}
	return c.change(ctx, req, change, action, body.Wait, timeout)
}

// checkChange validates a change without applying it.
func (c *Controller) checkChange(change configurer.Change) opResponse {
	c.machine.mu.Lock()
	reply := c.machine.config.Check(change)
	var winner *auditor.Record
	if reply.Outcome == configurer.OutcomeConflict {
		winner = c.machine.winningRecord(change.ExpectedRevision, reply)
	}
	c.machine.mu.Unlock()
	return changeResponse(reply, winner)
}

func (c *Controller) remove(ctx context.Context, req opRequest) opResponse {
	var f findings
	expect := f.number(req.Args, "expect", 0)
	if req.Args["expect"] == "" {
		f.add("expect", "is missing; it is the revision that you saw")
	}
	if req.Args["change"] == "" {
		f.add("change", "is missing; it is an id that you make, so that the change can be sent again")
	}
	timeout := f.timeout("timeout", req.Args["timeout"])
	if len(f) > 0 {
		return f.response()
	}
	ref := configurer.Ref{Name: req.Args["path.name"]}
	switch number, isVersion := req.Args["path.number"]; {
	case isVersion:
		ref = configurer.Ref{Kind: configurer.ObjectVersion, Name: ref.Name + "@" + number}
	case req.Args["path.kind"] == "classes":
		ref.Kind = configurer.ObjectClass
	case req.Args["path.kind"] == "services":
		ref.Kind = configurer.ObjectService
	default:
		ref.Kind = configurer.ObjectAdapter
	}
	change := configurer.Change{ID: req.Args["change"], ExpectedRevision: expect, Delete: []configurer.Ref{ref}}
	return c.change(ctx, req, change, auditor.ActionDelete, req.Args["wait"] == "true", timeout)
}

// change proposes a change and, with wait, returns once it is in force at every entry.
func (c *Controller) change(
	ctx context.Context, req opRequest, change configurer.Change, action auditor.Action, wait bool, timeout time.Duration,
) opResponse {
	cmd := newCommand(time.Now())
	cmd.Change = &changeCommand{
		Origin: origin{Operator: req.Operator, From: req.From, Change: change.ID}, Action: action, Change: change,
	}
	res, failed := c.propose(ctx, cmd)
	if failed != nil {
		return *failed
	}
	if res.Reply == nil {
		return failure(http.StatusInternalServerError, errorDetail{Code: "internal", Message: "the log gave no reply"})
	}
	if res.Reply.Outcome != configurer.OutcomeAccepted || !wait {
		return changeResponse(*res.Reply, res.Winner)
	}
	if !c.waitInForce(ctx, res.Reply.Revision, timeout-req.elapsed()) {
		return c.markLeaderLost(notInForce(res.Reply.Revision))
	}
	return success(http.StatusOK, appliedBody{Revision: res.Reply.Revision, Changed: orEmpty(res.Reply.Changed), InForce: true})
}

func orEmpty(refs []configurer.Ref) []configurer.Ref {
	if refs == nil {
		return []configurer.Ref{}
	}
	return refs
}

// propose proposes a command and returns its result, or an error response.
func (c *Controller) propose(ctx context.Context, cmd command) (result, *opResponse) {
	var res result
	data, err := encoder.Marshal(cmd)
	if err == nil {
		pctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		var out runner.Result
		if out, err = c.log.Propose(pctx, data); err == nil {
			err = encoder.Unmarshal(out.Data, &res)
		}
	}
	var other *runner.NotLeaderError
	switch {
	case err == nil && res.Err != "":
		r := failure(http.StatusInternalServerError, errorDetail{Code: "internal", Message: res.Err})
		return res, &r
	case err == nil:
		return res, nil
	case errors.As(err, &other):
		r := noLeader()
		return res, &r
	default:
		r := c.markLeaderLost(uncertain(err))
		return res, &r
	}
}

// changeResponse returns the response for the reply to a change.
func changeResponse(reply configurer.Reply, winner *auditor.Record) opResponse {
	switch reply.Outcome {
	case configurer.OutcomeAccepted:
		return success(http.StatusOK, appliedBody{Revision: reply.Revision, Changed: orEmpty(reply.Changed)})
	case configurer.OutcomeConflict:
		d := errorDetail{
			Code: "conflict", Message: "another change came first; the revision is " + formatUint(reply.Revision),
			Revision: reply.Revision, Findings: reply.Findings,
		}
		if reply.ConflictingVersion.Name != "" {
			d.Message = "version " + reply.ConflictingVersion.Name + " exists with another content"
		}
		if winner != nil {
			r := newRecordJSON(*winner)
			d.Winner = &r
		}
		return failure(http.StatusConflict, d)
	case configurer.OutcomeReused:
		return failure(http.StatusConflict, errorDetail{
			Code: "change_reused", Message: "the change id was used for another change", Revision: reply.Revision,
		})
	default:
		return failure(http.StatusUnprocessableEntity, errorDetail{
			Code: "invalid", Message: strconv.Itoa(len(reply.Findings)) + " findings", Findings: reply.Findings,
			Revision: reply.Revision,
		})
	}
}

func notInForce(revision uint64) opResponse {
	return failure(http.StatusGatewayTimeout, errorDetail{
		Code: "not_in_force", Message: "accepted, but not in force everywhere yet", Revision: revision,
	})
}

func (c *Controller) wait(ctx context.Context, req opRequest) opResponse {
	var f findings
	revision := f.number(req.Args, "revision", 0)
	timeout := f.timeout("timeout", req.Args["timeout"])
	if req.Args["revision"] == "" {
		f.add("revision", "is missing")
	}
	if len(f) > 0 {
		return f.response()
	}
	if !c.waitInForce(ctx, revision, timeout-req.elapsed()) {
		return c.markLeaderLost(notInForce(revision))
	}
	return success(http.StatusOK, struct {
		Revision uint64 `json:"revision"`
		InForce  bool   `json:"inforce"`
	}{revision, true})
}

func (r opRequest) elapsed() time.Duration {
	return time.Duration(max(0, min(r.ElapsedMillis, maxInForceTimeout.Milliseconds()))) * time.Millisecond
}

// waitInForce reports whether the revision came into force at every entry in time while this replica leads.
func (c *Controller) waitInForce(ctx context.Context, revision uint64, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		done := make(chan bool, 1)
		c.hub.post(ctx, func(now time.Time) { c.hub.awaitInForce(now, revision, done) })
		select {
		case <-ctx.Done():
			return false
		case ok := <-done:
			if ok {
				return true
			}
		}
		if !c.log.Status().IsLeader(time.Now()) || !waiter.Wait(ctx, leaderPollInterval) {
			return false
		}
	}
}

// awaitInForce sends true on done once a revision is in force everywhere, false at once if this replica doesn't lead or lacks it.
func (h *hub) awaitInForce(now time.Time, revision uint64, done chan<- bool) {
	if !h.isLeading(now) || h.machine.catalogRevision() < revision {
		done <- false
		return
	}
	h.leader.awaitInForce(now, revision, done)
}
