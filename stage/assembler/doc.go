// Package assembler merges the events of an OpenAI API stream into the answer without streaming.
package assembler
