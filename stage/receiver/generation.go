package receiver

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// generationDoc is the JSON body of a generation request; unknown fields are forwarded unchanged.
type generationDoc struct {
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	maxTokens int
	prompt    []byte
}

func parseGeneration(body []byte) (generationDoc, *problem) {
	d := generationDoc{}
	if err := json.Unmarshal(body, &d.fields); err != nil || d.fields == nil {
		return d, badRequest("", "the body is not a JSON object: "+parseErrorText(err))
	}
	if err := d.decodeField("model", &d.model); err != nil || d.model == "" {
		return d, badRequest("model", "model must be a string that names an adapter or a base model")
	}
	if err := d.decodeField("stream", &d.stream); err != nil {
		return d, badRequest("stream", "stream must be true or false")
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := d.decodeField(name, &d.maxTokens); err != nil || d.maxTokens < 0 {
			return d, badRequest(name, name+" must be a whole number, 0 or more")
		}
	}
	d.prompt = d.fields["messages"]
	if d.prompt == nil {
		d.prompt = d.fields["prompt"]
	}
	if d.prompt == nil || bytes.Equal(d.prompt, []byte("null")) {
		return d, badRequest("messages", "messages or prompt is missing")
	}
	return d, nil
}

// decodeField decodes a field into v unless it is absent or null.
func (d *generationDoc) decodeField(name string, v any) error {
	raw, ok := d.fields[name]
	if !ok {
		return nil
	}
	return json.Unmarshal(raw, v)
}

// rewrite returns the engine's body: always streamed, with the adapter's version and the priority.
func (d *generationDoc) rewrite(model string, urgent bool) ([]byte, error) {
	name, err := json.Marshal(model)
	if err != nil {
		return nil, errors.Wrap(err, "encode model")
	}
	d.fields["model"] = name
	d.fields["priority"] = json.RawMessage("1")
	if urgent {
		d.fields["priority"] = json.RawMessage("0")
	}
	if !d.stream {
		d.fields["stream"] = json.RawMessage("true")
		d.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(d.fields)
}

func parseErrorText(err error) string {
	if err == nil {
		return http.StatusText(http.StatusBadRequest)
	}
	return err.Error()
}
