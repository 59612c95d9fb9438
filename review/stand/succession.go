package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["succession"] = succession }

const (
	// syncTime is sync_s and recoverTime recover_s.
	syncTime    = 4 * time.Second
	recoverTime = 12 * time.Second
	// downtime of a machine that lost power, and the time for which the configuration is asked for after recoverTime.
	powerDowntime = time.Second
	readTime      = 10 * time.Second
)

// leaderOf returns the replica that answers reads of the configuration itself.
func (l *lab) leaderOf(controls []*proc) *proc {
	for range 50 {
		for _, p := range controls {
			req, err := http.NewRequest(http.MethodGet, "http://"+p.ip+":8144/config", nil)
			if err != nil {
				continue
			}
			resp, err := plain.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// succession replaces a control machine as planned, the new one first, and then two others lose their disks while all lose power.
func succession(l *lab) (int, error) {
	controls, fronts, err := l.deploy(5, 2, document())
	if err != nil {
		return cannot, err
	}
	for i := range 2 {
		if _, err := l.plainEngine(fmt.Sprintf("i-pedidos%d", i), controls); err != nil {
			return cannot, err
		}
	}
	// Five replicas vote within a few seconds after the start.
	time.Sleep(10 * time.Second)
	successor, err := l.addLater("control", controls[4].zone)
	if err != nil {
		return cannot, err
	}
	l.note("%s starts, with an empty disk", successor.name)
	time.Sleep(syncTime + 2*time.Second)
	leader := l.leaderOf(controls)
	if leader == nil {
		return cannot, errors.New("no replica leads")
	}
	old := controls[4]
	if old == leader {
		old = controls[3]
	}
	var rest []*proc
	for _, p := range append(controls, successor) {
		if p != old {
			rest = append(rest, p)
		}
	}
	if l.trouble {
		l.note("%s, which isn't the leader, gets SIGTERM and is removed for good; %s has had %v", old.name, successor.name, syncTime+2*time.Second)
		at := time.Now()
		old.stop(syscall.SIGTERM)
		select {
		case <-old.done:
		case <-time.After(8 * time.Second):
			old.signal(syscall.SIGKILL)
			<-old.done
		}
		l.note("%s has ended after %.3f s", old.name, time.Since(at).Seconds())
	}
	// Requests before the final fault are served.
	before := 0
	for i := range 10 {
		status, _ := check(fronts[i%len(fronts)].ip+":8149", fmt.Sprintf("b%d", i))
		if status == http.StatusOK {
			before++
		}
		time.Sleep(50 * time.Millisecond)
	}
	l.note("%d of 10 requests were served before", before)
	if before < 3 {
		return cannot, errors.New("requests aren't served before the final fault")
	}
	doc := document()
	doc["version"] = 8
	data, err := json.Marshal(doc)
	if err != nil {
		return cannot, err
	}
	status, _, err := l.control(rest, http.MethodPut, "/config", data, 3*time.Second)
	if err != nil || status != http.StatusOK {
		return cannot, fmt.Errorf("version 8: status %d, %v", status, err)
	}
	l.note("version 8 was acknowledged")
	if l.trouble {
		l.finalFault(rest, fronts, leader)
	}
	return l.judgeSuccession(rest, fronts)
}

// finalFault takes the power of all machines; two of the core, the leader not among them, come back with empty disks.
func (l *lab) finalFault(controls, fronts []*proc, leader *proc) {
	all := append(append([]*proc{}, controls...), fronts...)
	for _, p := range all {
		p.stop(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.done
	}
	wiped := 0
	for _, p := range controls {
		if p == leader || wiped == 2 {
			continue
		}
		wiped++
		l.note("%s loses its disk", p.name)
		_ = os.RemoveAll(p.dataDir)
		_ = os.Mkdir(p.dataDir, 0o755)
	}
	l.note("all machines have lost power")
	time.Sleep(powerDowntime)
	for _, p := range all {
		if err := p.start(); err != nil {
			l.note("%s: %v", p.name, err)
		}
	}
	l.note("all machines are back")
}

// judgeSuccession reads the configuration and sends requests, from recover_s after the machines are back on.
func (l *lab) judgeSuccession(controls, fronts []*proc) (int, error) {
	if l.trouble {
		time.Sleep(recoverTime)
	}
	read, asked, answered := false, 0, 0
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, p := range controls {
			status, body, err := call(http.MethodGet, "http://"+p.ip+":8144/config", nil)
			if err == nil && status == http.StatusOK && strings.Contains(string(body), `"version":8`) {
				read = true
			}
			if !read {
				l.note("read of the configuration at %s: status %d, %v", p.name, status, err)
			}
		}
		for _, p := range fronts {
			asked++
			status, err := check(p.ip+":8149", fmt.Sprintf("c%d", asked))
			if status == http.StatusOK {
				answered++
			} else {
				l.note("request at %s: status %d, %v", p.name, status, err)
			}
		}
	}
	l.note("version 8 could be read: %v; %d of %d requests were served", read, answered, asked)
	for _, p := range controls {
		l.lastMembers(p)
	}
	if !l.trouble && !read {
		return cannot, errors.New("the configuration can't be read without the disruption")
	}
	if answered*4 < asked {
		return broken, nil
	}
	return held, nil
}

// lastMembers notes the members that a replica's log names last.
func (l *lab) lastMembers(p *proc) {
	data, err := os.ReadFile(filepath.Clean(p.logs))
	if err != nil {
		return
	}
	last := ""
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, "members") {
			last = line
		}
	}
	l.note("%s: %s", p.name, last)
}
