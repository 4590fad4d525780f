// Package peridotkey makes and checks the keys of client accounts and of
// operators. Only a hash of a key's secret is ever kept; the key itself goes no
// further than the entry instance that received it.
package peridotkey
