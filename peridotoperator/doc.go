// Package peridotoperator serves the operator's interface: intents, plans,
// confirmations, keys and the history of the configuration.
package peridotoperator
