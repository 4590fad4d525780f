package peridotusage

import "peridotstack/peridotstream"

// FigureOf returns the use of one request by its end and the number of chunks
// that were seen of its answer. The engine's own count of tokens goes first; of
// an answer that broke off, each chunk of a model is a token.
func FigureOf(end peridotstream.End, chunks int, model bool) Figure {
	f := Figure{Requests: 1, PromptTokens: int64(end.PromptTokens), OutputTokens: int64(end.OutputTokens)}
	if model && end.Err != nil && end.OutputTokens == 0 {
		f.OutputTokens = int64(chunks)
	}
	return f
}
