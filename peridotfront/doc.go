// Package peridotfront implements the front, a reverse proxy between callers and
// the backend servers of one deployment. A front authenticates callers, chooses
// backend servers, forwards requests and streams, and retries failed requests
// that are safe to retry. The fronts of a deployment exchange their load and usage
// in UDP datagrams. The front that holds the duties lease reports usage.
//
// A front stores no data locally. Durable state is kept in the platform's table
// service.
package peridotfront
