// Package peridotsettings reads the settings file of one process and checks it
// before anything starts. What all processes share is not here but in the
// shared configuration, which the table service keeps.
package peridotsettings
