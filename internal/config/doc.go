// Package config defines and validates the settings files of the binaries and
// the operators' document.
package config
