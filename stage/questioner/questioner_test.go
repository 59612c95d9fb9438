package questioner

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/stage/loader"
)

func readExample(c *quicktest.C, team string) []byte {
	b, err := os.ReadFile(filepath.Join("..", "..", "examples", team, "answers.json"))
	c.Assert(err, quicktest.IsNil)
	return b
}

func TestExamplesGenerateValidSettings(t *testing.T) {
	for _, team := range []string{"tebing", "maule"} {
		t.Run(team, func(t *testing.T) {
			c := quicktest.New(t)
			a, findings := Parse("answers.json", readExample(c, team))
			c.Assert(findings, quicktest.HasLen, 0)
			c.Assert(a.Team(), quicktest.Equals, team)
			files, err := Generate(a, "aisyah")
			c.Assert(err, quicktest.IsNil)
			var paths []string
			zones := make(map[string]bool)
			dir := t.TempDir()
			for _, f := range files {
				path := filepath.Join(dir, f.Name())
				c.Assert(os.WriteFile(path, f.Content(), 0o600), quicktest.IsNil)
				if f.IsSettings() {
					paths = append(paths, path)
				}
				if f.Name() == DocFile {
					checkDoc(c, f.Content())
				}
			}
			settings, err := loader.Check(paths)
			c.Assert(err, quicktest.IsNil)
			c.Assert(settings, quicktest.HasLen, 8+3)
			for _, s := range settings {
				if s.Role() == loader.RoleControl {
					zones[s.Zone()] = true
				}
			}
			c.Assert(zones, quicktest.HasLen, 3) // one replica in each data centre
		})
	}
}

// checkDoc checks a configuration as the control process does.
func checkDoc(c *quicktest.C, b []byte) {
	var doc configurer.Doc
	c.Assert(json.Unmarshal(b, &doc), quicktest.IsNil)
	r := configurer.NewState().Check(configurer.Change{ID: "c-1", Put: doc})
	c.Assert(r.Findings, quicktest.HasLen, 0)
	c.Assert(r.Outcome, quicktest.Equals, configurer.OutcomeAccepted)
	catalog, err := configurer.NewCatalog(1, doc)
	c.Assert(err, quicktest.IsNil)
	orders, ok := catalog.Service("orders")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(orders.IsIdempotent("GET", "/stock/sieve"), quicktest.IsTrue)
	c.Assert(orders.IsIdempotent("POST", "/bookings"), quicktest.IsFalse)
}

// TestFindings edits an example and expects exactly the listed findings.
func TestFindings(t *testing.T) {
	tests := []struct {
		name   string
		change []string // pairs of old and new text
		want   []string
	}{
		{"data centre without instances", []string{`"kl-3"` + "\n  ],", `"kl-3", "kl-4"],`}, []string{`zones[3]: no instance lives in "kl-4"`}},
		{"duplicate address", []string{`127.21.2.1`, `127.21.1.1`}, []string{`instances[1].addr: "127.21.1.1" is that of instances[0] too`}},
		{"duplicate name", []string{`"i2"`, `"i1"`}, []string{`instances[1].name: "i1" is that of instances[0] too`}},
		{"long name", []string{`"i2"`, `"` + strings.Repeat("i", 51) + `"`}, []string{`instances[1].name: is longer than 50`}},
		{"one address in two notations", []string{`127.21.1.1"`, `::1"`, `127.21.2.1"`, `0:0::1"`}, []string{`instances[1].addr: "::1" is that of instances[0] too`}},
		{"no IP number", []string{`127.21.2.1`, `ipoh`}, []string{`instances[1].addr: "ipoh" is no IP number`}},
		{"too few disks", []string{`"controls": 3`, `"controls": 5`, `"disk": true`, `"disk": false`}, []string{`controls: 5 control replicas need as many instances with a disk, there are 0`}},
		{"even number of controls", []string{`"controls": 3`, `"controls": 4`}, []string{`controls: 4 is even; a quorum needs 1, 3 or 5`}},
		{"unit", []string{`"250ms"`, `"250"`}, []string{`store.load: "250" is no duration with a unit, such as "250ms"`}},
		{"class", []string{`"order"` + "\n", `"ordr"` + "\n"}, []string{`services[0].classes[0]: no class is named "ordr"`}},
		{"method", []string{`"method": "GET"`, `"method": "get"`}, []string{`services[0].calls[0].method: "get" is none of GET, HEAD, POST, PUT, PATCH, DELETE`}},
		{"path", []string{`"/stock/*"`, `"stock"`}, []string{`services[0].calls[0].path: must start with /`}},
		{"budget", []string{`"total": "10s"`, `"total": "1s"`}, []string{`classes[2].first: is above total`}},
		{"fenced is no text", []string{`"fenced": "some"`, `"fenced": true`}, []string{`model.fenced: must be a text`}},
		{
			"several",
			[]string{`"rate"`, `"speed"`, `"team"`, `"tema"`},
			[]string{`team: is missing`, `store.rate: is missing`, `store.speed: unknown field`, `tema: unknown field`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			_, findings := Parse("a.json", []byte(strings.NewReplacer(tt.change...).Replace(string(readExample(c, "tebing")))))
			var got []string
			for _, f := range findings {
				got = append(got, f.Path()+": "+f.Reason())
			}
			c.Assert(got, quicktest.DeepEquals, tt.want)
		})
	}
}

func TestAsk(t *testing.T) {
	c := quicktest.New(t)
	in := strings.Join([]string{
		"maule", "talca curico", "i1 talca 127.0.1.1 disk", "i2 curico ipoh", "i2 curico 127.0.1.2", "", "many", "1",
		"", "", "", "0.25", "300ms", "", "", "", "", "", "all", "orders", "", "get /stock/* repeatable", "POST", "POST /bookings", "", "",
	}, "\n") + "\n"
	var out strings.Builder
	b, err := Ask(strings.NewReader(in), &out)
	c.Assert(err, quicktest.IsNil)
	for _, want := range []string{
		`"ipoh" is no IP number`, `"many" is no whole number`, `"0.25" is no duration with a unit`, `write it as "GET /stock/* repeatable"`,
	} {
		c.Assert(out.String(), quicktest.Contains, want)
	}
	a, findings := Parse("answers", b)
	c.Assert(findings, quicktest.HasLen, 0)
	c.Assert(a.instances, quicktest.DeepEquals, []instance{{"i1", "talca", "127.0.1.1", true}, {"i2", "curico", "127.0.1.2", false}})
	c.Assert(a.storeLimits, quicktest.Equals, storeLimits{Rate: 3, Parallel: 2, InFlight: 16, LoadTime: "300ms"})
	c.Assert(a.services[0].Calls, quicktest.DeepEquals, []configurer.CallSpec{
		{Method: "GET", Path: "/stock/*", Idempotent: true}, {Method: "POST", Path: "/bookings"},
	})
	_, err = Ask(strings.NewReader("maule\n"), &out)
	c.Assert(err, quicktest.ErrorMatches, `no answer to "Data centres.*`)
}

// FuzzParse searches for answers that crash Parse or that pass and generate invalid settings.
func FuzzParse(f *testing.F) {
	b, err := os.ReadFile(filepath.Join("..", "..", "examples", "maule", "answers.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"team":"x","zones":["a"],"instances":[{"name":"i","zone":"a","addr":"::1","disk":true}],"controls":1}`))
	f.Add([]byte(`{"services":[{"calls":[{}]}],"model":0,"store":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, findings := Parse("f.json", b)
		if len(findings) > 0 {
			return
		}
		if _, err := Generate(a, "x"); err != nil {
			t.Fatalf("valid answers generate invalid settings: %v", err)
		}
	})
}
