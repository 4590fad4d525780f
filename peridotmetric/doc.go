// Package peridotmetric collects the counters, gauges and histograms of a process
// and serves them to Prometheus.
package peridotmetric
