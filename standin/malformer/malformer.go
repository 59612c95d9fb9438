package malformer

import "strings"

// Lines returns malformed field lines, without their ends, by what is wrong with them. names are fields that a reader acts on: each gets
// a line with a blank after its name. Every line has "ecret" in it, but for those that libraries take for the framing.
func Lines(names ...string) map[string]string {
	lines := map[string]string{
		"blank before the colon":         "X-Secret : v",
		"tab before the colon":           "X-Secret\t: v",
		"blank within the name":          "X Secret: v",
		"control byte in the name":       "X-Sec\x01ecret: v",
		"folded":                         "X-Secret: a\r\n b",
		"folded by a tab":                "X-Secret: a\r\n\tb",
		"bare line feed":                 "X-Secret: a\nX-Other: b",
		"carriage return in the value":   "X-Secret: a\rb",
		"control byte in the value":      "X-Secret: a\x00b",
		"no colon":                       "X-Secret",
		"no name":                        ": secret",
		"coding, blank within the name":  "Transfer Encoding: chunked",
		"length, blank within the name":  "Content Length: 3",
		"length, blank before the colon": "Content-Length : 3",
		"length after a bare line feed":  "X-Secret: a\nContent-Length: 3",
	}
	for _, name := range append(names, "Content-Type", "Content-Encoding", "Connection", "Set-Cookie") {
		lines[name+", blank before the colon"] = name + " : secret"
	}
	return lines
}

// Bytes returns a malformed field line for each byte that a name or a value may not hold.
func Bytes() []string {
	var lines []string
	for b := range 0x100 {
		c := string([]byte{byte(b)})
		if b <= ' ' || b >= 0x7f || strings.Contains(`()<>@,;\"/[]?={}`, c) {
			lines = append(lines, "X-Sec"+c+"ecret: v")
		}
		if b < ' ' && b != '\t' || b == 0x7f {
			lines = append(lines, "X-Secret: a"+c+"b")
		}
	}
	return lines
}
