// Package peridotbackend is the adapter to backend servers: model engines and
// plain services. It holds all that is known of their wire formats; another
// format costs one file here.
package peridotbackend
