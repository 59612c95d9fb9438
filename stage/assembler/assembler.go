package assembler

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

var (
	fieldData = []byte("data:")
	endMarker = []byte("[DONE]")
)

// Assemble merges the chunks of a complete stream into the answer without streaming; it fails if a chunk is an error.
func Assemble(events []byte) ([]byte, error) {
	answer := map[string]any{}
	for line := range bytes.Lines(events) {
		data, ok := bytes.CutPrefix(line, fieldData)
		data = bytes.TrimSpace(data)
		if !ok || bytes.Equal(data, endMarker) {
			continue
		}
		var chunk map[string]any
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.UseNumber()
		if err := dec.Decode(&chunk); err != nil {
			return nil, errors.Wrap(err, "chunk of a stream")
		}
		if failure := chunk["error"]; failure != nil {
			return nil, told(failure)
		}
		merge(answer, chunk)
	}
	if len(answer) == 0 {
		return nil, errors.New("stream without chunks")
	}
	finish(answer)
	return json.Marshal(answer)
}

// told returns the error that an engine sent as a chunk; the stream may still end with its end marker.
func told(failure any) error {
	text, err := json.Marshal(failure)
	if err != nil {
		return errors.Wrap(err, "error of a stream")
	}
	return errors.Errorf("the stream tells an error: %s", text)
}

// finish renames the chunk-specific object type and delta field to those of a whole answer.
func finish(answer map[string]any) {
	if answer["object"] == "chat.completion.chunk" {
		answer["object"] = "chat.completion"
	}
	choices, _ := answer["choices"].([]any)
	for _, c := range choices {
		choice, ok := c.(map[string]any)
		if !ok {
			continue
		}
		if delta, ok := choice["delta"]; ok {
			choice["message"] = delta
			delete(choice, "delta")
		}
	}
}

func merge(into, from map[string]any) {
	for name, v := range from {
		old, ok := into[name]
		if !ok || old == nil {
			into[name] = grown(v)
			continue
		}
		switch v := v.(type) {
		case nil:
		case string:
			if s, ok := old.(string); ok && isText(name) {
				into[name] = s + v
				continue
			}
			into[name] = v
		case map[string]any:
			if m, ok := old.(map[string]any); ok {
				merge(m, v)
				continue
			}
			into[name] = v
		case []any:
			if l, ok := old.([]any); ok {
				into[name] = mergeList(l, v)
				continue
			}
			into[name] = v
		default:
			into[name] = v
		}
	}
}

// grown merges a list into an empty one, so that items with the same index within one chunk are merged too.
func grown(v any) any {
	if l, ok := v.([]any); ok {
		return mergeList(nil, l)
	}
	return v
}

// mergeList merges items that have the same index and appends the others.
func mergeList(into, from []any) []any {
	for _, v := range from {
		item, ok := v.(map[string]any)
		if !ok {
			into = append(into, v)
			continue
		}
		if old := indexed(into, item["index"]); old != nil {
			merge(old, item)
			continue
		}
		into = append(into, item)
	}
	return into
}

func indexed(list []any, index any) map[string]any {
	if index == nil {
		return nil
	}
	for _, v := range list {
		if m, ok := v.(map[string]any); ok && m["index"] == index {
			return m
		}
	}
	return nil
}

// isText reports whether the values of a field are concatenated across chunks.
func isText(name string) bool {
	switch name {
	case "content", "text", "arguments", "reasoning_content", "refusal":
		return true
	}
	return false
}
