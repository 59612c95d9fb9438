package loader

import (
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/checker"
)

// MinTokenBytes is the minimum length of a token in bytes.
const MinTokenBytes = 16

// Token is an operator's token.
type Token struct {
	name   string
	secret string
}

// Name returns the operator's name in the audit trail.
func (t Token) Name() string { return t.name }

// Secret returns the bearer token of the operator's calls.
func (t Token) Secret() string { return t.secret }

// LoadTokens reads the operators' token file.
func LoadTokens(path string) ([]Token, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' tokens")
	}
	tokens, findings := ParseTokens(path, b)
	return tokens, checker.NewError(findings)
}

// ParseTokens parses tokens, which are valid only without findings; findings contain no token.
func ParseTokens(file string, b []byte) ([]Token, []checker.Finding) {
	n := checker.Parse(file, b)
	if n.IsUnreadable() {
		return nil, n.Findings()
	}
	var tokens []Token
	for _, o := range n.Objects("tokens", 1) {
		t := Token{name: o.Name("name"), secret: o.String("token")}
		if t.secret != "" && len(t.secret) < MinTokenBytes {
			o.Add("token", fmt.Sprintf("is shorter than %d characters", MinTokenBytes))
		}
		isDuplicate := func(other Token) bool { return t.secret != "" && t.secret == other.secret }
		if slices.ContainsFunc(tokens, isDuplicate) {
			o.Add("token", "is another operator's too")
		}
		o.ReportUnknownFields()
		tokens = append(tokens, t)
	}
	n.ReportUnknownFields()
	return tokens, n.Findings()
}
