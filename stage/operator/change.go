package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/checker"
)

type objectRef struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

type applyBody struct {
	Change  string         `json:"change,omitempty"`
	Expect  uint64         `json:"expect"`
	Doc     configurer.Doc `json:"doc"`
	Delete  []objectRef    `json:"delete,omitempty"`
	Wait    bool           `json:"wait,omitempty"`
	Timeout string         `json:"timeout,omitempty"`
	Check   bool           `json:"check,omitempty"`
}

type applyResult struct {
	Revision uint64      `json:"revision"`
	Changed  []objectRef `json:"changed"`
	InForce  bool        `json:"inforce"`
}

// maxWait is the longest wait that the operators' API accepts.
const maxWait = time.Minute

// changeID returns the given change id or a new one, and validates --timeout.
func (c *command) changeID(ch changeFlags) (string, error) {
	if ch.Timeout <= 0 || ch.Timeout > maxWait {
		return "", &usageError{fmt.Sprintf("--timeout: %s is not above 0 and up to %s", ch.Timeout, maxWait)}
	}
	if ch.Change != "" {
		return ch.Change, nil
	}
	return c.NewChangeID(), nil
}

func (c *command) apply() error {
	a := c.Apply
	body := applyBody{Wait: a.Wait, Timeout: a.Timeout.String(), Check: a.Check}
	var err error
	if body.Change, err = c.changeID(a.changeFlags); err != nil {
		return err
	}
	if body.Delete, err = parseRefs(a.Delete); err != nil {
		return err
	}
	if a.File == "" && len(body.Delete) == 0 {
		return &usageError{"apply: neither a file nor --delete is given"}
	}
	if a.File != "" {
		if body.Doc, err = c.readDoc(a.File); err != nil {
			return err
		}
	}
	if body.Expect, err = c.expectedRevision(a); err != nil {
		return err
	}
	req := apiCall{method: http.MethodPost, path: "/v1/apply", body: body, changeID: body.Change, expectedRevision: &body.Expect}
	if a.Check {
		req.changeID = ""
	}
	if a.Wait {
		req.wait = a.Timeout
	}
	b, err := c.client.send(req)
	if err != nil {
		return err
	}
	var r applyResult
	return c.printResponse(b, &r, func() error { return c.printApplied(r, a) })
}

func (c *command) printApplied(r applyResult, a *applyArgs) error {
	for _, o := range r.Changed {
		if err := c.printf("%s %s\n", o.Kind, o.Name); err != nil {
			return err
		}
	}
	switch {
	case a.Check:
		return c.printf("no findings; nothing was changed\n")
	case len(r.Changed) == 0:
		return c.printf("revision %d, nothing to change\n", r.Revision)
	case r.InForce:
		return c.printf("revision %d, in force everywhere\n", r.Revision)
	}
	return c.printf("revision %d\n", r.Revision)
}

// expectedRevision returns the revision that a change builds on.
func (c *command) expectedRevision(a *applyArgs) (uint64, error) {
	if a.Expect != nil {
		return *a.Expect, nil
	}
	if a.Change != "" && !a.Check {
		return 0, &usageError{"apply: a change that is sent again needs its --expect too"}
	}
	b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/classes"})
	if err != nil {
		return 0, err
	}
	var r applyResult
	if err := json.Unmarshal(b, &r); err != nil {
		return 0, errors.Wrap(err, "read the revision")
	}
	return r.Revision, nil
}

// readDoc reads a configuration and reports all its syntax errors.
func (c *command) readDoc(path string) (configurer.Doc, error) {
	var b []byte
	var err error
	if path == "-" {
		b, err = io.ReadAll(c.In)
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return configurer.Doc{}, errors.Wrap(err, "read configuration")
	}
	doc, findings := parseDoc(path, b)
	return doc, checker.NewError(findings)
}

func parseRefs(list []string) ([]objectRef, error) {
	refs := make([]objectRef, 0, len(list))
	for _, s := range list {
		kind, name, ok := strings.Cut(s, "/")
		if !ok || name == "" {
			return nil, &usageError{fmt.Sprintf("--delete: %q is not of the form kind/name", s)}
		}
		switch configurer.ObjectKind(kind) {
		case configurer.ObjectClass, configurer.ObjectService, configurer.ObjectAdapter, configurer.ObjectVersion:
		default:
			return nil, &usageError{fmt.Sprintf("--delete: %q is none of class, service, adapter, version", kind)}
		}
		refs = append(refs, objectRef{Kind: kind, Name: name})
	}
	return refs, nil
}

type drainBody struct {
	Change string `json:"change"`
	objectRef
}

type drainList struct {
	Drains []objectRef `json:"drains"`
}

func (c *command) drain() error {
	d := c.Drain
	if d.Kind != "server" && d.Kind != "entry" {
		return &usageError{fmt.Sprintf("drain: %q is neither server nor entry", d.Kind)}
	}
	id, err := c.changeID(d.changeFlags)
	if err != nil {
		return err
	}
	req := apiCall{method: http.MethodPost, path: "/v1/drains", changeID: id, body: drainBody{Change: id, objectRef: objectRef{d.Kind, d.Name}}}
	if d.Undo {
		req = apiCall{
			method: http.MethodDelete, changeID: id, query: url.Values{"change": {id}},
			path: "/v1/drains/" + d.Kind + "/" + url.PathEscape(d.Name),
		}
	}
	b, err := c.client.send(req)
	if err != nil {
		return err
	}
	if d.Wait {
		if err := c.waitFor(d.changeFlags, func(s status) bool { return s.isDrained(d) }); err != nil {
			return err
		}
	}
	var r drainList
	return c.printResponse(b, &r, func() error { return c.printDrains(r) })
}

func (c *command) printDrains(r drainList) error {
	t := newTable(c.Out, "KIND", "NAME")
	for _, d := range r.Drains {
		t.row(d.Kind, d.Name)
	}
	return t.flush()
}

type replicaList struct {
	Replicas []replica `json:"replicas"`
}

type replicaBody struct {
	Change string `json:"change"`
	ID     uint64 `json:"id"`
	Addr   string `json:"addr"`
}

func (c *command) addReplica() error {
	a := c.Replica.Add
	id, err := c.changeID(a.changeFlags)
	if err != nil {
		return err
	}
	body := replicaBody{Change: id, ID: a.ID, Addr: a.Addr}
	return c.changeReplicas(
		apiCall{method: http.MethodPost, path: "/v1/replicas", changeID: id, body: body}, a.changeFlags,
		func(s status) bool { return s.hasVoter(a.ID) },
	)
}

func (c *command) removeReplica() error {
	a := c.Replica.Remove
	id, err := c.changeID(a.changeFlags)
	if err != nil {
		return err
	}
	path := "/v1/replicas/" + strconv.FormatUint(a.ID, 10)
	return c.changeReplicas(
		apiCall{method: http.MethodDelete, path: path, changeID: id, query: url.Values{"change": {id}}}, a.changeFlags,
		func(s status) bool { return !s.hasReplica(a.ID) },
	)
}

func (c *command) changeReplicas(req apiCall, ch changeFlags, isDone func(status) bool) error {
	req.wait = ch.Timeout
	b, err := c.client.send(req)
	if err != nil {
		return err
	}
	if ch.Wait {
		if err := c.waitFor(ch, isDone); err != nil {
			return err
		}
	}
	var r replicaList
	return c.printResponse(b, &r, func() error { return c.printReplicas(r.Replicas) })
}

// pollInterval is the time between status requests.
const pollInterval = 500 * time.Millisecond

// waitFor polls the status until isDone or ch.Timeout.
func (c *command) waitFor(ch changeFlags, isDone func(status) bool) error {
	for waited := time.Duration(0); ; waited += pollInterval {
		b, err := c.client.send(apiCall{method: http.MethodGet, path: "/v1/status"})
		if err != nil {
			return err
		}
		var s status
		if err := json.Unmarshal(b, &s); err != nil {
			return errors.Wrap(err, "read status")
		}
		if isDone(s) {
			return nil
		}
		if waited >= ch.Timeout {
			return &apiError{status: http.StatusGatewayTimeout, detail: errorDetail{
				Code: codeNotInForce, Message: fmt.Sprintf("accepted, but not done within %s", ch.Timeout),
			}}
		}
		c.Sleep(pollInterval)
	}
}
