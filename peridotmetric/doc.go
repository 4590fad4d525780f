// Package peridotmetric sets up counters and gauges and serves them for
// scraping.
package peridotmetric
