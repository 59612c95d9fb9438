package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// object is a JSON object; keys keep their order.
type object struct {
	keys   []string
	fields map[string]any
}

// maxDepth limits the nesting of values.
const maxDepth = 32

// Parse parses one JSON object; on failure the Node is unreadable and has a finding.
func Parse(file string, b []byte) *Node {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(b)), report: &report{file: file}}
	p.dec.UseNumber()
	v, err := p.value("", 0)
	if err == nil {
		if _, trailingErr := p.dec.Token(); !errors.Is(trailingErr, io.EOF) {
			err = errors.New("something follows the object")
		}
	}
	n := &Node{report: p.report, value: v}
	if err != nil {
		line, column := position(b, p.dec.InputOffset())
		p.report.add("", fmt.Sprintf("not JSON at line %d, column %d: %v", line, column, err))
		n.isUnreadable = true
		return n
	}
	if _, ok := v.(*object); !ok {
		p.report.add("", "must be an object")
		n.isUnreadable = true
	}
	return n
}

// position returns the 1-based line and column of offset.
func position(b []byte, offset int64) (line, column int) {
	before := b[:min(int(offset), len(b))]
	line = bytes.Count(before, []byte("\n")) + 1
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

// parser builds the tree of values and reports duplicate fields.
type parser struct {
	dec    *json.Decoder
	report *report
}

func (p *parser) value(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("nested deeper than %d", maxDepth)
	}
	t, err := p.token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		return p.object(path, depth)
	case json.Delim('['):
		return p.list(path, depth)
	}
	return t, nil
}

// token returns the next token; io.EOF becomes io.ErrUnexpectedEOF.
func (p *parser) token() (json.Token, error) {
	t, err := p.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return t, err
}

func (p *parser) object(path string, depth int) (any, error) {
	o := &object{fields: make(map[string]any)}
	for p.dec.More() {
		t, err := p.token()
		if err != nil {
			return nil, err
		}
		key, ok := t.(string)
		if !ok {
			return nil, errors.Errorf("field name %v is no text", t)
		}
		fieldPath := joinPath(path, key)
		v, err := p.value(fieldPath, depth+1)
		if err != nil {
			return nil, err
		}
		if _, ok := o.fields[key]; ok {
			p.report.add(fieldPath, "stands twice")
			continue
		}
		o.keys = append(o.keys, key)
		o.fields[key] = v
	}
	_, err := p.token()
	return o, err
}

func (p *parser) list(path string, depth int) (any, error) {
	list := []any{}
	for p.dec.More() {
		v, err := p.value(fmt.Sprintf("%s[%d]", path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := p.token()
	return list, err
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
