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

// LeaveConfig sizes a run in which backend servers leave under load.
type LeaveConfig struct {
	// Seed decides who leaves, which control connections are cut, and the load.
	Seed uint64
	// Rate is the number of requests a second over all entries; Adapters is the number of adapters that they name.
	Rate     float64
	Adapters int
	// Mute keeps the servers' load reports from saying that they leave, to show that the judgement sees it.
	Mute bool
	// Log is told of each leave; it may be nil.
	Log func(string)
}

const (
	// busyLimit is how long a server may take to get its first work, before which it doesn't leave.
	busyLimit = 15 * time.Second
	busyPause = 200 * time.Millisecond
	// leaveWatch is how long a control connection stays cut after a leave; it outlasts the bound and most of a lease.
	leaveWatch  = 6 * time.Second
	leavePause  = 3 * time.Second
	adminLimit  = 2 * time.Second
	leaveTokens = 8
	// Shares of the load.
	leaveBookings = 0.3
	leaveStock    = 0.2
)

// Cut says whose control connection is cut while a server leaves.
type Cut string

// The cuts.
const (
	CutNone  Cut = "none"
	CutOwner Cut = "owner"
	CutOther Cut = "other"
)

// Departure is what a backend server itself counted of its leave.
type Departure struct {
	Server string `json:"server"`
	Cut    Cut    `json:"cut"`
	Entry  string `json:"entry,omitempty"`
	// Silent says that the server's open connections go silent for good as it leaves.
	Silent bool `json:"silent,omitempty"`
	Before int  `json:"before"`
	After  int  `json:"after"`
	// Overdue and Late count new work more than 3 s and 5 s after the leave; LastMS is the time to the last of all.
	Overdue int   `json:"overdue"`
	Late    int   `json:"late"`
	LastMS  int64 `json:"last_ms"`
	SinceMS int64 `json:"since_ms"`
}

// LeaveReport is what a run of leaves found.
type LeaveReport struct {
	Departures []Departure       `json:"departures"`
	Load       *generator.Report `json:"load"`
	// Violations are broken rules; there must be none.
	Violations []string `json:"violations"`
}

// Leaver lets backend servers of one deployment leave.
type Leaver struct {
	cfg  LeaveConfig
	dep  *rehearser.Rehearser
	http *http.Client
	rng  *rand.Rand
}

// NewLeaver returns a Leaver of a running deployment whose entries have relays to their control replicas.
func NewLeaver(cfg LeaveConfig, dep *rehearser.Rehearser) *Leaver {
	return &Leaver{cfg: cfg, dep: dep, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: adminLimit}, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Run lets up to half of each service's servers leave, one after the other, under load.
func (l *Leaver) Run(ctx context.Context) (*LeaveReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leaving := l.choose()
	length := time.Duration(len(leaving)) * (busyLimit + leaveWatch + leavePause)
	rep := &LeaveReport{}
	var loadErr error
	var wg conc.WaitGroup
	wg.Go(func() { rep.Load, loadErr = generator.Run(ctx, l.load(length)) })
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
		if err := l.ask(http.MethodGet, leaving[i].Server, "/departure", "", &leaving[i]); err != nil {
			return nil, err
		}
	}
	rep.Departures = leaving
	rep.judge()
	return rep, nil
}

func (l *Leaver) load(length time.Duration) generator.Config {
	return generator.Config{
		Entries: l.dep.Callers(), Rate: l.cfg.Rate, Duration: length, Tokens: leaveTokens, Seed: l.cfg.Seed,
		Model: rehearser.AdapterPrefix, Adapters: l.cfg.Adapters, Bookings: leaveBookings, Stock: leaveStock,
	}
}

// choose draws half of the engines and half of the plain services; each cut comes up for either kind in turn.
func (l *Leaver) choose() []Departure {
	var kinds [2][]string
	for _, si := range l.dep.Standins() {
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

// leave cuts a control connection if it is to be cut, has the server leave, and heals the connection later.
func (l *Leaver) leave(d *Departure) error {
	if err := l.waitBusy(d); err != nil {
		return err
	}
	owner, err := l.dep.Owner(d.Server)
	if err != nil {
		return errors.Wrapf(err, "owner of %s", d.Server)
	}
	d.Entry = l.victim(d.Cut, owner)
	if err := l.setFaults(d.Server, faulter.Faults{Mute: l.cfg.Mute}); err != nil {
		return err
	}
	if d.Entry != "" {
		l.dep.CutControl(d.Entry)
	}
	l.log(fmt.Sprintf("%s leaves, owner %s, cut off: %q, open connections silent: %v", d.Server, owner, d.Entry, d.Silent))
	if err := l.ask(http.MethodPost, d.Server, "/leave", "", nil); err != nil {
		return err
	}
	if d.Silent {
		if err := l.setFaults(d.Server, faulter.Faults{Mute: l.cfg.Mute, Silent: true}); err != nil {
			return err
		}
	}
	time.Sleep(leaveWatch)
	if d.Entry != "" {
		l.dep.HealControl(d.Entry)
	}
	time.Sleep(leavePause)
	return nil
}

// waitBusy waits until the server has had work, so that its leave shows something; the judgement notes if it had none.
func (l *Leaver) waitBusy(d *Departure) error {
	for end := time.Now().Add(busyLimit); time.Now().Before(end); time.Sleep(busyPause) {
		if err := l.ask(http.MethodGet, d.Server, "/departure", "", d); err != nil {
			return err
		}
		if d.Before > 0 {
			return nil
		}
	}
	return nil
}

// setFaults switches a stand-in's faults; the connection that makes all connections silent is one of them.
func (l *Leaver) setFaults(server string, f faulter.Faults) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	err = l.ask(http.MethodPost, server, "/faults", string(b), nil)
	var timeout net.Error
	if f.Silent && (errors.Is(err, io.EOF) || errors.As(err, &timeout) && timeout.Timeout()) {
		return nil
	}
	return err
}

// victim returns the entry that is cut off, or "".
func (l *Leaver) victim(cut Cut, owner string) string {
	switch cut {
	case CutOwner:
		return owner
	case CutOther:
		entries := l.dep.Entries()
		for range entries {
			if e := entries[l.rng.IntN(len(entries))]; e != owner {
				return e
			}
		}
	case CutNone:
	}
	return ""
}

// ask makes a call to a stand-in itself.
func (l *Leaver) ask(method, server, path, body string, into any) error {
	addr := ""
	for _, si := range l.dep.Standins() {
		if si.Name() == server {
			addr = si.Addr()
		}
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	res, err := l.http.Do(req)
	if err != nil {
		return errors.Wrap(err, server)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s %s: %s", server, method, path, res.Status)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return errors.Wrap(err, server)
	}
	return nil
}

// judge finds new work that came too late, answers that were wrong, and leaves that show nothing.
func (r *LeaveReport) judge() {
	for _, d := range r.Departures {
		switch {
		case d.Overdue > 0:
			r.Violations = append(r.Violations, fmt.Sprintf("%s: %d requests more than %v after its leave, the last after %d ms",
				d.Server, d.Overdue, responder.LeaveBound, d.LastMS))
		case d.Before == 0:
			r.Violations = append(r.Violations, d.Server+": had no work before its leave, so that nothing was shown")
		case time.Duration(d.SinceMS)*time.Millisecond < leaveWatch:
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
