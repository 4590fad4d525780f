// Package peridotstream keeps an answer as a timeline of numbered chunks.
//
// The writer appends chunks as they are generated. Each reader holds its own
// checkpoint, the number of the last chunk it has, and asks for what follows.
// A reader that lost its connection resumes from its checkpoint, through any
// other process, and neither misses a chunk nor gets one twice.
package peridotstream
