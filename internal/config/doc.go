// Package config holds the settings files of the binaries and the operators'
// document, with their checks.
package config
