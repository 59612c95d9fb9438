package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

const entryJSON = `{"role":"entry","name":"entry-1","zone":"kl-1","zones":["kl-1","kl-2"],"peers":"127.0.1.1:7100",
"metrics":"127.0.1.1:9100","callers":"127.0.1.1:8080","controls":["127.0.1.1:7000"],"limits":{"body":"2MiB","header":"5s"}}`

const controlJSON = `{"role":"control","name":"control-1","id":1,"cluster":"tebing","zone":"kl-2","zones":["kl-1","kl-2"],
"folder":"data/control-1","peers":"127.0.1.1:7000","operators":"127.0.1.1:7070","metrics":"127.0.1.1:9101",
"members":[{"id":1,"addr":"127.0.1.1:7000"}],"tokens":"tokens.json",
"store":{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"}}`

func findingLines(findings []checker.Finding) []string {
	var list []string
	for _, f := range findings {
		list = append(list, f.Path()+": "+f.Reason())
	}
	return list
}

func TestParse(t *testing.T) {
	c := quicktest.New(t)
	e, findings := Parse("x/entry.json", []byte(entryJSON))
	c.Assert(findingLines(findings), quicktest.HasLen, 0)
	c.Assert(e.Entry().Limits().MaxBodyBytes(), quicktest.Equals, 2<<20)
	c.Assert(e.Entry().Limits().ReadTimeout(), quicktest.Equals, 5*time.Second)
	c.Assert(e.Entry().Limits().MaxConns(), quicktest.Equals, defaultMaxConns)
	c.Assert(e.Entry().ControlAddrs(), quicktest.DeepEquals, []string{"127.0.1.1:7000"})
	s, findings := Parse("x/control.json", []byte(controlJSON))
	c.Assert(findingLines(findings), quicktest.HasLen, 0)
	c.Assert(s.Control().DataFolder(), quicktest.Equals, filepath.Join("x", "data", "control-1"))
	c.Assert(s.Control().Store(), quicktest.Equals, StoreLimits{loadsPerSecond: 3.5, parallel: 3, inflight: 24, loadTime: 250 * time.Millisecond})
	c.Assert(s.Control().Members()[0].Addr(), quicktest.Equals, "127.0.1.1:7000")
}

// TestFindings edits valid settings and expects exactly the listed findings.
func TestFindings(t *testing.T) {
	tests := []struct {
		name   string
		source string
		change []string // pairs of old and new text
		want   []string
	}{
		{"unknown field", entryJSON, []string{`"role"`, `"rool":1,"role"`}, []string{`rool: unknown field`}},
		{"unknown nested field", entryJSON, []string{`"body"`, `"bodies":1,"body"`}, []string{`limits.bodies: unknown field`}},
		{"size without unit", entryJSON, []string{`"2MiB"`, `2000000`}, []string{`limits.body: must be a text with a unit, such as "8MiB"`}},
		{"wrong size unit", entryJSON, []string{`"2MiB"`, `"2MB"`}, []string{`limits.body: "2MB" is no size up to 1GiB with a unit, such as "8MiB"`}},
		{"duration without unit", entryJSON, []string{`"5s"`, `"5"`}, []string{`limits.header: "5" is no duration with a unit, such as "250ms"`}},
		{"duration as number", controlJSON, []string{`"250ms"`, `250`}, []string{`store.load: must be a text with a unit, such as "250ms"`}},
		{"rate with unit", controlJSON, []string{`3.5`, `"3.5/s"`}, []string{`store.rate: must be a number, by the second and without a unit`}},
		{"negative duration", entryJSON, []string{`"5s"`, `"-5s"`}, []string{`limits.header: "-5s" is not above 0`}},
		{"duplicate address", entryJSON, []string{`1.1:9100`, `1.1:7100`}, []string{`metrics: "127.0.1.1:7100" is the address of peers too`}},
		{"host name", entryJSON, []string{`127.0.1.1:8080`, `localhost:8080`}, []string{`callers: "localhost:8080" is no address of the form ip:port`}},
		{"no address", entryJSON, []string{`127.0.1.1:8080`, `0.0.0.0:8080`}, []string{`callers: "0.0.0.0:8080" is no address that others can reach`}},
		{"missing", entryJSON, []string{`"callers":"127.0.1.1:8080",`, ``}, []string{`callers: is missing`}},
		{"unlisted zone", entryJSON, []string{`"zone":"kl-1"`, `"zone":"kl-9"`}, []string{`zone: "kl-9" is not among the zones`}},
		{"zone twice", entryJSON, []string{`["kl-1","kl-2"]`, `["kl-1","kl-1"]`}, []string{`zones[1]: "kl-1" stands twice`}},
		{"no controls", entryJSON, []string{`["127.0.1.1:7000"]`, `[]`}, []string{`controls: has 0 elements, needs 1`}},
		{"field twice", entryJSON, []string{`"role"`, `"name":"x","role"`}, []string{`name: stands twice`}},
		{"role", entryJSON, []string{`"entry"`, `"entrance"`}, []string{`role: "entrance" is none of entry, control`}},
		{"truncated", entryJSON, []string{`"header":"5s"}}`, ``}, []string{`: not JSON at line 2, column 109: unexpected EOF`}},
		{"no object", `[1]`, nil, []string{`: must be an object`}},
		{"more than one", `{} {}`, nil, []string{`: not JSON at line 1, column 5: something follows the object`}},
		{"not a member", controlJSON, []string{`"id":1,"cluster"`, `"id":4,"cluster"`}, []string{`id: 4 is not among the members`}},
		{"member's address", controlJSON, []string{`"addr":"127.0.1.1:7000"`, `"addr":"127.0.1.9:7000"`}, []string{`members[0].addr: "127.0.1.9:7000" is not this replica's peers address "127.0.1.1:7000"`}},
		{
			"member twice", controlJSON,
			[]string{`"members":[`, `"members":[{"id":1,"addr":"127.0.1.1:7000"},`},
			[]string{`members[1].id: 1 is that of members[0] too`, `members[1].addr: "127.0.1.1:7000" is that of members[0] too`},
		},
		{
			"several findings", controlJSON,
			[]string{`"id":1,"cluster"`, `"id":0,"cluster"`, `"parallel":3,`, `"parallel":30,"parts":1,`, `"folder":"data/control-1",`, ``},
			[]string{`id: 0 is not between 1 and 2147483647`, `folder: is missing`, `store.inflight: is below parallel`, `store.parts: unknown field`},
		},
		{
			"certificate without key", controlJSON,
			[]string{`"tokens":`, `"tls":{"cert":"c.pem","file":1},"tokens":`},
			[]string{`tls.key: is missing`, `tls.file: unknown field`},
		},
		{"store is no object", controlJSON, []string{`{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"}`, `3`}, []string{`store: must be an object`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			_, findings := Parse("s.json", []byte(strings.NewReplacer(tt.change...).Replace(tt.source)))
			c.Assert(findingLines(findings), quicktest.DeepEquals, tt.want)
		})
	}
}

// TestConflictsBetweenFiles edits one of two valid files.
func TestConflictsBetweenFiles(t *testing.T) {
	tests := []struct {
		name   string
		change []string // of the entry's settings
		want   []string // file, path and reason
	}{
		{"no conflict", nil, nil},
		{"address in another file", []string{`127.0.1.1:8080`, `127.0.1.1:7070`}, []string{`control.json: operators: "127.0.1.1:7070" is an address in entry.json too`}},
		{"same name", []string{`entry-1`, `control-1`}, []string{`control.json: name: "control-1" is the name in entry.json too`}},
		{"empty data centre", []string{`"kl-2"]`, `"kl-2","kl-3"]`}, []string{`entry.json: zones[2]: no process lives in "kl-3"`}},
		{"unknown control", []string{`127.0.1.1:7000`, `127.0.1.7:7000`}, []string{`entry.json: controls[0]: "127.0.1.7:7000" is the peers address of no control replica`}},
		{"findings in one file", []string{`"name"`, `"title"`}, []string{`entry.json: name: is missing`, `entry.json: title: unknown field`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			dir := t.TempDir()
			paths := []string{filepath.Join(dir, "entry.json"), filepath.Join(dir, "control.json")}
			for i, text := range []string{strings.NewReplacer(tt.change...).Replace(entryJSON), controlJSON} {
				c.Assert(os.WriteFile(paths[i], []byte(text), 0o600), quicktest.IsNil)
			}
			_, err := Check(paths)
			if tt.want == nil {
				c.Assert(err, quicktest.IsNil)
				return
			}
			var found *checker.FindingsError
			c.Assert(errors.As(err, &found), quicktest.IsTrue)
			got := strings.ReplaceAll(found.Error(), dir+string(filepath.Separator), "")
			c.Assert(strings.Split(got, "\n"), quicktest.DeepEquals, tt.want)
		})
	}
}

func TestMissingFile(t *testing.T) {
	c := quicktest.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none.json"))
	c.Assert(err, quicktest.ErrorIs, os.ErrNotExist)
	_, err = Check([]string{"none.json"})
	c.Assert(err, quicktest.ErrorMatches, "none.json: read settings: .*")
}

// FuzzParse searches for content that crashes Parse or passes without required settings.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{entryJSON, controlJSON, `{}`, `{"role":"entry","limits":[]}`, `{"members":[1,{"id":"x"}],"role":"control"}`, `[`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, findings := Parse("f.json", b)
		if len(findings) > 0 {
			return
		}
		if s.Name() == "" || s.Zone() == "" || s.PeersAddr() == "" {
			t.Fatalf("settings without name, zone or address pass: %q", b)
		}
		if s.Role() == RoleControl && (s.Control().ID() == 0 || s.Control().Store().LoadsPerSecond() <= 0) {
			t.Fatalf("control settings without id or rate pass: %q", b)
		}
	})
}

func TestTokens(t *testing.T) {
	c := quicktest.New(t)
	tokens, findings := ParseTokens("t.json", []byte(`{"tokens":[{"name":"aisyah","token":"0123456789abcdef"}]}`))
	c.Assert(findingLines(findings), quicktest.HasLen, 0)
	c.Assert(tokens, quicktest.HasLen, 1)
	c.Assert([]string{tokens[0].Name(), tokens[0].Secret()}, quicktest.DeepEquals, []string{"aisyah", "0123456789abcdef"})
	_, findings = ParseTokens("t.json", []byte(`{"tokens":[{"name":"a","token":"short"},{"name":"b","token":"short","x":1},{"name":"c"}],"y":1}`))
	c.Assert(findingLines(findings), quicktest.DeepEquals, []string{
		"tokens[0].token: is shorter than 16 characters",
		"tokens[1].token: is shorter than 16 characters", "tokens[1].token: is another operator's too", "tokens[1].x: unknown field",
		"tokens[2].token: is missing", "y: unknown field",
	})
	_, err := LoadTokens(filepath.Join(t.TempDir(), "none.json"))
	c.Assert(err, quicktest.ErrorIs, os.ErrNotExist)
}
