// Package peridotsite defines the configuration of one deployment (its routes,
// services, client accounts and limits) and its registered backend servers. The
// types are plain data with look-ups, and must not be modified once they are
// shared.
package peridotsite
