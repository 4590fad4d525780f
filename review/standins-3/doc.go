// Package main is the stand-ins of the cases 11 to 15 of the third review: a platform, workers and
// clients on loopback addresses, and the fronts as processes.
package main
