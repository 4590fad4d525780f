// Package peridotintent turns what an operator wants into a plan that says what
// would change, where, at what cost and for how long, and lets the plan count
// only if it is confirmed while the world is still the one it was made for.
package peridotintent
