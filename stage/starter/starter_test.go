package starter

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/stage/controller"
)

func TestReadTokens(t *testing.T) {
	tests := []struct {
		name string
		give string
		want []controller.Token
		err  string
	}{
		{name: "valid", give: `{"tokens":[{"name":"aisyah","token":"0123456789abcdef"}]}`, want: []controller.Token{{Name: "aisyah", Token: "0123456789abcdef"}}},
		{name: "short and unknown field", give: `{"tokens":[{"name":"a","token":"x","role":1}]}`, err: `(?s).*tokens\[0\]\.token.*shorter than 16.*tokens\[0\]\.role.*`},
		{name: "duplicate token", give: `{"tokens":[{"name":"a","token":"0123456789abcdef"},{"name":"b","token":"0123456789abcdef"}]}`, err: `.*tokens\[1\]\.token.*another operator.*`},
		{name: "empty list", give: `{"tokens":[]}`, err: `.*tokens.*`},
		{name: "not JSON", give: `tokens`, err: `.*t\.json.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "t.json")
			c.Assert(os.WriteFile(path, []byte(tt.give), 0o600), qt.IsNil)
			got, err := readTokens(path)
			if tt.err != "" {
				c.Assert(err, qt.ErrorMatches, tt.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
}
