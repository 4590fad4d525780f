package peridotusage

import "peridotstack/peridotstream"

// FigureOf returns the usage of one request, given the end of its response stream
// and the number of chunks received. isModel must be set if a language model
// served the request. The token counts are those that the engine reported. If a
// model's response ended with an error and the engine reported no output tokens,
// each chunk is counted as one token.
func FigureOf(end peridotstream.End, chunkCount int, isModel bool) Figure {
	f := Figure{Requests: 1, PromptTokens: int64(end.PromptTokens), OutputTokens: int64(end.OutputTokens)}
	if isModel && end.Err != nil && end.OutputTokens == 0 {
		f.OutputTokens = int64(chunkCount)
	}
	return f
}
