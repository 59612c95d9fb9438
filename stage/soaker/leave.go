package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/stage/rehearser"
	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/generator"
	"redwingstage.org/standin/responder"
)

// LeaveConfig sets the load and the faults of a run in which backend servers leave.
type LeaveConfig struct {
	// Seed determines which servers leave, which control connections are cut, and the load.
	Seed uint64
	// Rate is the number of requests per second over all entries; Adapters is the number of adapters that they name.
	Rate     float64
	Adapters int
	// HideLeave omits the leave from the servers' load reports, to show that the run then reports violations.
	HideLeave bool
	// Log receives a line for each leave; it may be nil.
	Log func(string)
}

const (
	// firstRequestTimeout limits the wait for a server's first request before it leaves.
	firstRequestTimeout      = 15 * time.Second
	firstRequestPollInterval = 200 * time.Millisecond
	// observeTime is how long control stays cut after a leave; it exceeds responder.OverdueAfter and most of a lease.
	observeTime      = 6 * time.Second
	restoredTime     = 3 * time.Second
	standinTimeout   = 2 * time.Second
	tokensPerRequest = 8
	// Shares of the load, from 0 to 1.
	bookingShare = 0.3
	stockShare   = 0.2
)

// Cut selects the entry whose control connections are cut while a server leaves.
type Cut string

// CutNone cuts no entry off, CutOwner the server's owner, CutOther another entry.
const (
	CutNone  Cut = "none"
	CutOwner Cut = "owner"
	CutOther Cut = "other"
)

// Departure holds the requests that a backend server counted before (Before) and after (After) its leave.
type Departure struct {
	Server string `json:"server"`
	Cut    Cut    `json:"cut"`
	Entry  string `json:"entry,omitempty"`
	// Silent reports whether the server's open connections stop carrying data for good when it leaves.
	Silent bool `json:"silent,omitempty"`
	Before int  `json:"before"`
	After  int  `json:"after"`
	// Overdue and Late count new requests more than 3 s and 5 s after the leave; LastMS is the time from it to the last one.
	Overdue int   `json:"overdue"`
	Late    int   `json:"late"`
	LastMS  int64 `json:"last_ms"`
	SinceMS int64 `json:"since_ms"`
}

// LeaveReport is the result of a run in which servers leave.
type LeaveReport struct {
	Departures []Departure       `json:"departures"`
	Load       *generator.Report `json:"load"`
	// Violations are broken rules; there must be none.
	Violations []string `json:"violations"`
}

// Leaver makes backend servers of a deployment leave.
type Leaver struct {
	cfg        LeaveConfig
	deployment *rehearser.Rehearser
	client     *http.Client
	rng        *rand.Rand
}

// NewLeaver returns a Leaver for a running deployment whose entries have relays to their control replicas.
func NewLeaver(cfg LeaveConfig, deployment *rehearser.Rehearser) *Leaver {
	return &Leaver{cfg: cfg, deployment: deployment, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: standinTimeout}, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Run makes half of the engines and half of the plain services' servers leave under load, one after the other.
func (l *Leaver) Run(ctx context.Context) (*LeaveReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leaving := l.pickDepartures()
	duration := time.Duration(len(leaving)) * (firstRequestTimeout + observeTime + restoredTime)
	rep := &LeaveReport{}
	var loadErr error
	var wg conc.WaitGroup
	wg.Go(func() { rep.Load, loadErr = generator.Run(ctx, l.loadConfig(duration)) })
	for i := range leaving {
		if err := l.leave(&leaving[i]); err != nil {
			cancel()
			wg.Wait()
			return nil, err
		}
	}
	cancel()
	wg.Wait()
	if loadErr != nil {
		return nil, loadErr
	}
	for i := range leaving {
		if err := l.callStandin(http.MethodGet, leaving[i].Server, "/departure", "", &leaving[i]); err != nil {
			return nil, err
		}
	}
	rep.Departures = leaving
	rep.findViolations()
	return rep, nil
}

func (l *Leaver) loadConfig(duration time.Duration) generator.Config {
	return generator.Config{
		Entries: l.deployment.CallerAddrs(), Rate: l.cfg.Rate, Duration: duration, Tokens: tokensPerRequest, Seed: l.cfg.Seed,
		Model: rehearser.AdapterPrefix, Adapters: l.cfg.Adapters, BookingShare: bookingShare, StockShare: stockShare,
	}
}

// pickDepartures picks half of the engines and of the plain services' servers at random; each kind cycles through the cuts.
func (l *Leaver) pickDepartures() []Departure {
	var kinds [2][]string
	for _, si := range l.deployment.Standins() {
		kind := 0
		if si.IsPlain() {
			kind = 1
		}
		kinds[kind] = append(kinds[kind], si.Name())
	}
	cuts := []Cut{CutOwner, CutNone, CutOther}
	var list []Departure
	for _, names := range kinds {
		l.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for i, name := range names[:len(names)/2] {
			list = append(list, Departure{Server: name, Cut: cuts[i%len(cuts)], Silent: l.rng.IntN(2) == 0})
		}
	}
	l.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// leave cuts the control connections of the entry that d.Cut selects, makes the server leave, and later restores them.
func (l *Leaver) leave(d *Departure) error {
	if err := l.waitForFirstRequest(d); err != nil {
		return err
	}
	owner, err := l.deployment.Owner(d.Server)
	if err != nil {
		return errors.Wrapf(err, "owner of %s", d.Server)
	}
	d.Entry = l.entryToCut(d.Cut, owner)
	if err := l.setFaults(d.Server, faulter.Faults{HideLeave: l.cfg.HideLeave}); err != nil {
		return err
	}
	if d.Entry != "" {
		l.deployment.CutControl(d.Entry)
	}
	l.log(fmt.Sprintf("%s leaves, owner %s, cut off: %q, open connections silent: %v", d.Server, owner, d.Entry, d.Silent))
	if err := l.callStandin(http.MethodPost, d.Server, "/leave", "", nil); err != nil {
		return err
	}
	if d.Silent {
		if err := l.setFaults(d.Server, faulter.Faults{HideLeave: l.cfg.HideLeave, Silent: true}); err != nil {
			return err
		}
	}
	time.Sleep(observeTime)
	if d.Entry != "" {
		l.deployment.RestoreControl(d.Entry)
	}
	time.Sleep(restoredTime)
	return nil
}

// waitForFirstRequest waits until the server has received a request; findViolations reports a leave without one.
func (l *Leaver) waitForFirstRequest(d *Departure) error {
	for end := time.Now().Add(firstRequestTimeout); time.Now().Before(end); time.Sleep(firstRequestPollInterval) {
		if err := l.callStandin(http.MethodGet, d.Server, "/departure", "", d); err != nil {
			return err
		}
		if d.Before > 0 {
			return nil
		}
	}
	return nil
}

// setFaults sets a stand-in's faults; Silent stops this call's connection too, so that EOF or a timeout is no error.
func (l *Leaver) setFaults(server string, f faulter.Faults) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	err = l.callStandin(http.MethodPost, server, "/faults", string(b), nil)
	var timeout net.Error
	if f.Silent && (errors.Is(err, io.EOF) || errors.As(err, &timeout) && timeout.Timeout()) {
		return nil
	}
	return err
}

// entryToCut returns the entry to cut off, or "" for none.
func (l *Leaver) entryToCut(cut Cut, owner string) string {
	switch cut {
	case CutOwner:
		return owner
	case CutOther:
		entries := l.deployment.Entries()
		for range entries {
			if e := entries[l.rng.IntN(len(entries))]; e != owner {
				return e
			}
		}
	case CutNone:
	}
	return ""
}

// callStandin calls a stand-in directly and decodes its JSON answer into out, which may be nil.
func (l *Leaver) callStandin(method, server, path, body string, out any) error {
	addr := ""
	for _, si := range l.deployment.Standins() {
		if si.Name() == server {
			addr = si.Addr()
		}
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	res, err := l.client.Do(req)
	if err != nil {
		return errors.Wrap(err, server)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s %s: %s", server, method, path, res.Status)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return errors.Wrap(err, server)
	}
	return nil
}

// findViolations reports late requests, failed answers, and leaves of servers idle before or observed too briefly.
func (r *LeaveReport) findViolations() {
	for _, d := range r.Departures {
		switch {
		case d.Overdue > 0:
			r.Violations = append(r.Violations, fmt.Sprintf("%s: %d requests more than %v after its leave, the last after %d ms",
				d.Server, d.Overdue, responder.OverdueAfter, d.LastMS))
		case d.Before == 0:
			r.Violations = append(r.Violations, d.Server+": had no work before its leave, so that nothing was shown")
		case time.Duration(d.SinceMS)*time.Millisecond < observeTime:
			r.Violations = append(r.Violations, d.Server+": was not watched for long enough")
		}
	}
	for _, row := range r.Load.Rows() {
		for _, outcome := range []string{"broken", "cut", "wrong"} {
			if n := row.Outcomes()[outcome]; n > 0 {
				r.Violations = append(r.Violations, fmt.Sprintf("%s: %d answers are %s", row.Name(), n, outcome))
			}
		}
	}
}

func (l *Leaver) log(line string) {
	if l.cfg.Log != nil {
		l.cfg.Log(line)
	}
}
