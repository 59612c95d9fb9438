package assembler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A stream is merged into one answer with each chunk exactly once; a stream with an error chunk fails.
func TestAssemble(t *testing.T) {
	tests := []struct{ name, give, want, err string }{
		{
			name: "chat",
			give: `data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]}

data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}],"usage":null}

data: {"id":"x","object":"chat.completion.chunk","choices":[],"usage":{"total_tokens":12345678901234567890}}

data: [DONE]

`,
			want: `{"choices":[{"finish_reason":"stop","index":0,"message":{"content":"ab","role":"assistant"}}],"id":"x","object":"chat.completion","usage":{"total_tokens":12345678901234567890}}`,
		},
		{
			name: "two choices of text",
			give: "data: {\"choices\":[{\"index\":1,\"text\":\"x\"}]}\n\ndata: {\"choices\":[{\"index\":0,\"text\":\"y\"},{\"index\":1,\"text\":\"z\"}]}\n\n",
			want: `{"choices":[{"index":1,"text":"xz"},{"index":0,"text":"y"}]}`,
		},
		{
			name: "tool call",
			give: "data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,\"id\":\"t\",\"function\":{\"name\":\"f\",\"arguments\":\"{\"}}]}}]}\n\n" +
				"data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"}\"}}]}}]}\n\n",
			want: `{"choices":[{"index":0,"message":{"tool_calls":[{"function":{"arguments":"{}","name":"f"},"id":"t","index":0}]}}]}`,
		},
		{
			name: "failure within the stream",
			give: "data: {\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\ndata: {\"error\":{\"message\":\"m\",\"code\":500}}\n\ndata: [DONE]\n\n",
			err:  `the stream tells an error: \{"code":500,"message":"m"\}`,
		},
		{name: "no failure", give: "data: {\"error\":null,\"model\":\"a\"}\n\ndata: [DONE]\n\n", want: `{"error":null,"model":"a"}`},
		{name: "nothing", give: "data: [DONE]\n\n", err: "stream without chunks"},
		{name: "no JSON", give: "data: {\n\n", err: "chunk of a stream: .*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Assemble([]byte(tt.give))
			if tt.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, tt.err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, tt.want)
		})
	}
}
