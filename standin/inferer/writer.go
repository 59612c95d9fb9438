package inferer

import (
	"bufio"
	"encoding/json"
	"strconv"

	"redwingstage.org/standin/faulter"
)

// answerWriter encodes the answer to one request.
type answerWriter struct {
	id      identity
	chat    bool
	fault   faulter.AnswerFault
	created int64
	buf     []byte
}

// quote returns s as a JSON string; encoding a string can't fail.
func quote(s string) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte(`""`)
	}
	return b
}

// stream writes each event after the first offset ones as it is generated, then the end marker.
func (w *answerWriter) stream(bw *bufio.Writer, st *stream, offset int) {
	head, tail := w.eventFrame()
	sent := offset
	for {
		n, state := st.wait(sent)
		w.buf = w.buf[:0]
		for ; sent < n; sent++ {
			if w.fault == faulter.Truncated && sent >= w.id.totalTokens/2 {
				w.flush(bw)
				return
			}
			w.appendEvent(head, tail, sent+1)
			if w.fault == faulter.Doubled {
				w.appendEvent(head, tail, sent+1)
			}
		}
		if state == finished {
			w.buf = append(w.buf, w.eventStart()...)
			w.buf = append(w.buf, "[DONE]\n\n"...)
		}
		if !w.flush(bw) || state != running {
			return
		}
	}
}

func (w *answerWriter) flush(bw *bufio.Writer) bool {
	if _, err := bw.Write(w.buf); err != nil {
		return false
	}
	return bw.Flush() == nil
}

// eventStart returns the SSE id field and the start of the data field.
func (w *answerWriter) eventStart() []byte {
	return []byte("id: " + w.id.attempt + "\ndata: ")
}

// eventFrame returns the bytes before and after the text of each event.
func (w *answerWriter) eventFrame() (head, tail []byte) {
	object, textOpen, textClose := "text_completion", `"text":`, `,"finish_reason":`
	if w.chat {
		object, textOpen, textClose = "chat.completion.chunk", `"delta":{"content":`, `},"finish_reason":`
	}
	head = w.eventStart()
	head = append(head, `{"id":`...)
	head = append(head, quote(w.id.attempt)...)
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, w.created, 10)
	head = append(head, `,"model":`...)
	head = append(head, quote(w.id.model)...)
	head = append(head, `,"choices":[{"index":0,`+textOpen...)
	return head, []byte(textClose)
}

func (w *answerWriter) appendEvent(head, tail []byte, n int) {
	w.buf = append(w.buf, head...)
	w.buf = append(w.buf, quote(tokenText(w.id.model, w.id.marker, n, w.id.totalTokens))...)
	w.buf = append(w.buf, tail...)
	if n == w.id.totalTokens {
		w.buf = append(w.buf, `"length"`...)
	} else {
		w.buf = append(w.buf, `null`...)
	}
	w.buf = append(w.buf, "}]}\n\n"...)
}

// nonStreamingBody returns the body of a non-streaming answer.
func (w *answerWriter) nonStreamingBody(st *stream) []byte {
	type reply struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int    `json:"index"`
		Message *reply `json:"message,omitempty"`
		Text    string `json:"text,omitempty"`
		Finish  string `json:"finish_reason"`
	}
	type usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
	body := struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{ID: w.id.attempt, Object: "text_completion", Created: w.created, Model: w.id.model}
	text := AnswerText(w.id.model, w.id.marker, w.id.totalTokens)
	c := choice{Text: text, Finish: "length"}
	if w.chat {
		body.Object = "chat.completion"
		c = choice{Message: &reply{Role: "assistant", Content: text}, Finish: "length"}
	}
	body.Choices = []choice{c}
	prompt := len(st.prompt)/bytesPerToken + 1
	body.Usage = usage{Prompt: prompt, Completion: w.id.totalTokens, Total: prompt + w.id.totalTokens}
	b, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return b
}
