// Package peridotcontrol decides which orders bring a failure domain closer to
// the confirmed configuration. It is pure logic: the holder of the domain's lease
// hands it what it sees and carries out what it returns.
package peridotcontrol
