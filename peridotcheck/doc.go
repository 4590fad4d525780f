// Package peridotcheck finds mistakes in a configuration before operators send it: entries that
// never match, limits that contradict each other, fields that are not read. It also lists what
// differs between two configurations.
//
// A finding is an error only if fronts refuse the configuration or a field of it. What they
// accept is at most a warning. The package has no goroutine, socket or clock.
package peridotcheck
