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

// answersJSON is a file of answers.
type answersJSON struct {
	Team      string                 `json:"team"`
	Zones     []string               `json:"zones"`
	Instances []instance             `json:"instances"`
	Controls  int                    `json:"controls"`
	Store     storeLimits            `json:"store"`
	Classes   []configurer.ClassSpec `json:"classes"`
	Model     model                  `json:"model"`
	Services  []serviceJSON          `json:"services,omitempty"`
}

type serviceJSON struct {
	Name    string                `json:"name"`
	Classes []string              `json:"classes"`
	Servers int                   `json:"servers"`
	Calls   []configurer.CallSpec `json:"calls"`
}

// prompter asks questions; err is the first I/O error.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// Ask prompts for all answers and returns them as JSON for Parse.
func Ask(r io.Reader, w io.Writer) ([]byte, error) {
	q := &prompter{in: bufio.NewScanner(r), out: w}
	s := answersJSON{
		Team:      q.text("Name of the team", "team"),
		Zones:     strings.Fields(q.text("Data centres, separated by spaces", "dc-1")),
		Instances: q.instances(),
		Controls:  q.count("Control replicas (1, 3 or 5)", 3),
		Store: storeLimits{
			Rate:     q.rate("Adapter loads that the weight store allows in a second", 3),
			Parallel: q.count("Loads at once at full speed", 2),
			InFlight: q.count("Loads in flight beyond which all become slower", 16),
			LoadTime: q.duration("Time of a load", "250ms"),
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

// prompt asks once and returns the answer, or def if it is empty.
func (q *prompter) prompt(question, def string) string {
	if q.err != nil {
		return def
	}
	if def != "" {
		question += " [" + def + "]"
	}
	if _, err := fmt.Fprint(q.out, question+": "); err != nil {
		q.err = errors.Wrap(err, "ask")
		return def
	}
	if !q.in.Scan() {
		q.err = errors.Errorf("no answer to %q", question)
		if err := q.in.Err(); err != nil {
			q.err = errors.Wrap(err, "read answer")
		}
		return def
	}
	if s := strings.TrimSpace(q.in.Text()); s != "" {
		return s
	}
	return def
}

// promptUntilValid asks until parse accepts the answer.
func (q *prompter) promptUntilValid(question, def string, parse func(string) error) {
	for q.err == nil {
		s := q.prompt(question, def)
		if q.err != nil {
			return
		}
		err := parse(s)
		if err == nil {
			return
		}
		if _, err = fmt.Fprintln(q.out, "  "+err.Error()); err != nil {
			q.err = errors.Wrap(err, "ask")
		}
	}
}

func (q *prompter) text(question, def string) string { return q.prompt(question, def) }

func (q *prompter) count(question string, def int) int {
	n := 0
	q.promptUntilValid(question, strconv.Itoa(def), func(s string) error {
		var err error
		if n, err = strconv.Atoi(s); err != nil {
			return errors.Errorf("%q is no whole number", s)
		}
		return nil
	})
	return n
}

func (q *prompter) rate(question string, def float64) float64 {
	f := 0.0
	q.promptUntilValid(question, strconv.FormatFloat(def, 'g', -1, 64), func(s string) error {
		var err error
		if f, err = strconv.ParseFloat(s, 64); err != nil || f <= 0 {
			return errors.Errorf("%q is no number above 0", s)
		}
		return nil
	})
	return f
}

func (q *prompter) duration(question, def string) string {
	var text string
	q.promptUntilValid(question, def, func(s string) error {
		if d, err := time.ParseDuration(s); err != nil || d <= 0 {
			return errors.Errorf("%q is no duration with a unit, such as \"250ms\"", s)
		}
		text = s
		return nil
	})
	return text
}

func (q *prompter) instances() []instance {
	var list []instance
	for q.err == nil {
		more := false
		q.promptUntilValid("Instance as: name data-centre ip [disk], empty to end", "", func(s string) error {
			fields := strings.Fields(s)
			if len(fields) == 0 {
				return nil
			}
			if len(fields) < 3 || len(fields) > 4 || len(fields) == 4 && fields[3] != "disk" {
				return errors.New(`write it as "i1 dc-1 10.0.0.1 disk" or without "disk"`)
			}
			if _, err := netip.ParseAddr(fields[2]); err != nil {
				return errors.Errorf("%q is no IP number", fields[2])
			}
			list = append(list, instance{Name: fields[0], Zone: fields[1], IP: fields[2], HasDisk: len(fields) == 4})
			more = true
			return nil
		})
		if !more {
			return list
		}
	}
	return list
}

func (q *prompter) services() []serviceJSON {
	var list []serviceJSON
	for q.err == nil {
		name := q.prompt("Plain service, empty to end", "")
		if name == "" {
			return list
		}
		s := serviceJSON{Name: name, Classes: []string{"urgent"}, Servers: q.count("Its backend servers", 3)}
		s.Calls = q.calls()
		list = append(list, s)
	}
	return list
}

func (q *prompter) calls() []configurer.CallSpec {
	var list []configurer.CallSpec
	for q.err == nil {
		more := false
		q.promptUntilValid("Its call as: method path [repeatable], empty to end", "", func(s string) error {
			fields := strings.Fields(s)
			if len(fields) == 0 {
				return nil
			}
			if len(fields) < 2 || len(fields) > 3 || len(fields) == 3 && fields[2] != "repeatable" {
				return errors.New(`write it as "GET /stock/* repeatable" or "POST /bookings"`)
			}
			list = append(list, configurer.CallSpec{Method: strings.ToUpper(fields[0]), Path: fields[1], Idempotent: len(fields) == 3})
			more = true
			return nil
		})
		if !more {
			return list
		}
	}
	return list
}
