package questioner

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
)

// sheet is the JSON form of the answers.
type sheet struct {
	Team      string                 `json:"team"`
	Zones     []string               `json:"zones"`
	Instances []instance             `json:"instances"`
	Controls  int                    `json:"controls"`
	Store     store                  `json:"store"`
	Classes   []configurer.ClassSpec `json:"classes"`
	Model     model                  `json:"model"`
	Services  []serviceSheet         `json:"services,omitempty"`
}

type serviceSheet struct {
	Name    string                `json:"name"`
	Classes []string              `json:"classes"`
	Servers int                   `json:"servers"`
	Calls   []configurer.CallSpec `json:"calls"`
}

// asker prompts for answers and repeats a question until its answer is valid; err is the first I/O error.
type asker struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// Ask prompts for the answers on w, reads them from r and returns them as JSON for Parse.
func Ask(r io.Reader, w io.Writer) ([]byte, error) {
	q := &asker{in: bufio.NewScanner(r), out: w}
	s := sheet{
		Team:      q.text("Name of the team", "team"),
		Zones:     strings.Fields(q.text("Data centres, separated by spaces", "dc-1")),
		Instances: q.instances(),
		Controls:  q.count("Control replicas (1, 3 or 5)", 3),
		Store: store{
			Rate:     q.rate("Adapter loads that the weight store allows in a second", 3),
			Parallel: q.count("Loads at once at full speed", 2),
			InFlight: q.count("Loads in flight beyond which all become slower", 16),
			Load:     q.duration("Time of a load", "250ms"),
		},
		Classes: []configurer.ClassSpec{
			{Name: "urgent", Urgent: true, First: q.duration("Urgent work: time to the first token", "2s"), Total: "2m0s"},
			{Name: "waiting", Long: true, Total: q.duration("Work that can wait: time to the end", "8h")},
		},
		Model: model{
			Name:     q.text("Name of the base model", "base"),
			Classes:  []string{"urgent", "waiting"},
			Engines:  q.count("Model engines", 12),
			Adapters: q.count("Adapters", 3000),
			Fenced:   q.text("Engines that refuse orders with an old fence number (all, some, none)", "none"),
		},
	}
	s.Services = q.services()
	if q.err != nil {
		return nil, q.err
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode answers")
	}
	return append(b, '\n'), nil
}

// line prompts once and returns the answer, or the default for an empty one.
func (q *asker) line(question, preset string) string {
	if q.err != nil {
		return preset
	}
	if preset != "" {
		question += " [" + preset + "]"
	}
	if _, err := fmt.Fprint(q.out, question+": "); err != nil {
		q.err = errors.Wrap(err, "ask")
		return preset
	}
	if !q.in.Scan() {
		q.err = errors.Errorf("no answer to %q", question)
		if err := q.in.Err(); err != nil {
			q.err = errors.Wrap(err, "read answer")
		}
		return preset
	}
	if s := strings.TrimSpace(q.in.Text()); s != "" {
		return s
	}
	return preset
}

// ask repeats a question until parse accepts the answer.
func (q *asker) ask(question, preset string, read func(string) error) {
	for q.err == nil {
		s := q.line(question, preset)
		if q.err != nil {
			return
		}
		err := read(s)
		if err == nil {
			return
		}
		if _, err = fmt.Fprintln(q.out, "  "+err.Error()); err != nil {
			q.err = errors.Wrap(err, "ask")
		}
	}
}

func (q *asker) text(question, preset string) string { return q.line(question, preset) }

func (q *asker) count(question string, preset int) int {
	n := 0
	q.ask(question, strconv.Itoa(preset), func(s string) error {
		var err error
		if n, err = strconv.Atoi(s); err != nil {
			return errors.Errorf("%q is no whole number", s)
		}
		return nil
	})
	return n
}

func (q *asker) rate(question string, preset float64) float64 {
	f := 0.0
	q.ask(question, strconv.FormatFloat(preset, 'g', -1, 64), func(s string) error {
		var err error
		if f, err = strconv.ParseFloat(s, 64); err != nil || f <= 0 {
			return errors.Errorf("%q is no number above 0", s)
		}
		return nil
	})
	return f
}

func (q *asker) duration(question, preset string) string {
	var text string
	q.ask(question, preset, func(s string) error {
		if d, err := time.ParseDuration(s); err != nil || d <= 0 {
			return errors.Errorf("%q is no duration with a unit, such as \"250ms\"", s)
		}
		text = s
		return nil
	})
	return text
}

func (q *asker) instances() []instance {
	var list []instance
	for q.err == nil {
		more := false
		q.ask("Instance as: name data-centre ip [disk], empty to end", "", func(s string) error {
			f := strings.Fields(s)
			if len(f) == 0 {
				return nil
			}
			if len(f) < 3 || len(f) > 4 || len(f) == 4 && f[3] != "disk" {
				return errors.New(`write it as "i1 dc-1 10.0.0.1 disk" or without "disk"`)
			}
			if _, err := netip.ParseAddr(f[2]); err != nil {
				return errors.Errorf("%q is no IP number", f[2])
			}
			list = append(list, instance{Name: f[0], Zone: f[1], Addr: f[2], Disk: len(f) == 4})
			more = true
			return nil
		})
		if !more {
			return list
		}
	}
	return list
}

func (q *asker) services() []serviceSheet {
	var list []serviceSheet
	for q.err == nil {
		name := q.line("Plain service, empty to end", "")
		if name == "" {
			return list
		}
		s := serviceSheet{Name: name, Classes: []string{"urgent"}, Servers: q.count("Its backend servers", 3)}
		s.Calls = q.calls()
		list = append(list, s)
	}
	return list
}

func (q *asker) calls() []configurer.CallSpec {
	var list []configurer.CallSpec
	for q.err == nil {
		more := false
		q.ask("Its call as: method path [repeatable], empty to end", "", func(s string) error {
			f := strings.Fields(s)
			if len(f) == 0 {
				return nil
			}
			if len(f) < 2 || len(f) > 3 || len(f) == 3 && f[2] != "repeatable" {
				return errors.New(`write it as "GET /stock/* repeatable" or "POST /bookings"`)
			}
			list = append(list, configurer.CallSpec{Method: strings.ToUpper(f[0]), Path: f[1], Idempotent: len(f) == 3})
			more = true
			return nil
		})
		if !more {
			return list
		}
	}
	return list
}
