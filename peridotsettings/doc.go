// Package peridotsettings reads and validates the settings file of one process.
//
// What all processes share is not part of the settings. It is in the shared
// configuration, which is stored in the table service.
package peridotsettings
