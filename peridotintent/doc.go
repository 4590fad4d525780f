// Package peridotintent turns an operator's intent into a plan and commits the
// plan once an operator confirms it.
//
// A plan lists what would change in each failure domain, what the result would
// cost and how long engines would be unavailable. It can be confirmed only until
// models or deployments change.
package peridotintent
