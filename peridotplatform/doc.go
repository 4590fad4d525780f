// Package peridotplatform is the adapter to the platform: its table service,
// object store, list of instances, interface for ordering backend servers and
// interface for usage reports. All that is known of their wire formats is here.
package peridotplatform
