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

// Assemble merges the chunks of a stream into the answer without streaming, or fails if one is an error.
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
			return nil, chunkError(failure)
		}
		merge(answer, chunk)
	}
	if len(answer) == 0 {
		return nil, errors.New("stream without chunks")
	}
	renameChunkFields(answer)
	return json.Marshal(answer)
}

// chunkError returns an error sent as a chunk, after which the stream may end as usual.
func chunkError(failure any) error {
	text, err := json.Marshal(failure)
	if err != nil {
		return errors.Wrap(err, "error of a stream")
	}
	return errors.Errorf("the stream tells an error: %s", text)
}

// renameChunkFields renames a chunk's object type and delta to those of an answer.
func renameChunkFields(answer map[string]any) {
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
			into[name] = mergeRepeats(v)
			continue
		}
		switch v := v.(type) {
		case nil:
		case string:
			if s, ok := old.(string); ok && isConcatenated(name) {
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

// mergeRepeats merges items with the same index within one chunk.
func mergeRepeats(v any) any {
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
		if old := findByIndex(into, item["index"]); old != nil {
			merge(old, item)
			continue
		}
		into = append(into, item)
	}
	return into
}

func findByIndex(list []any, index any) map[string]any {
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

// isConcatenated reports whether the values of a field are concatenated across chunks.
func isConcatenated(name string) bool {
	switch name {
	case "content", "text", "arguments", "reasoning_content", "refusal":
		return true
	}
	return false
}
