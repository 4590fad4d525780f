// Package peridotstream stores an answer as a sequence of numbered chunks, so that a
// reader that lost its connection can resume it.
//
// The writer appends chunks to a Timeline as they are generated. Each reader keeps a
// checkpoint, the number of chunks that it has received, and asks for the chunks that
// follow. It can resume from its checkpoint through any process, and a Checker makes
// sure that it neither misses a chunk nor accepts one twice.
package peridotstream
