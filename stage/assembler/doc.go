// Package assembler builds a whole answer of the OpenAI API from the events of its stream.
package assembler
