package loader

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

// MinToken is the length of the shortest token in characters.
const MinToken = 16

// Token lets one operator in.
type Token struct {
	name   string
	secret string
}

// Name returns the operator's name in the audit trail.
func (t Token) Name() string { return t.name }

// Secret returns what the operator's calls carry.
func (t Token) Secret() string { return t.secret }

// Tokens reads the file with the operators' tokens.
func Tokens(path string) ([]Token, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' tokens")
	}
	tokens, findings := ParseTokens(path, b)
	return tokens, checker.NewError(findings)
}

// ParseTokens reads operators' tokens; they are usable only without findings, which show no token.
func ParseTokens(file string, b []byte) ([]Token, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsBroken() {
		return nil, n.Findings()
	}
	var tokens []Token
	for _, o := range n.Objects("tokens", 1) {
		t := Token{name: o.Name("name"), secret: o.Text("token")}
		if t.secret != "" && len(t.secret) < MinToken {
			o.Add("token", fmt.Sprintf("is shorter than %d characters", MinToken))
		}
		shared := func(other Token) bool { return t.secret != "" && t.secret == other.secret }
		if slices.ContainsFunc(tokens, shared) {
			o.Add("token", "is another operator's too")
		}
		o.End()
		tokens = append(tokens, t)
	}
	n.End()
	return tokens, n.Findings()
}
