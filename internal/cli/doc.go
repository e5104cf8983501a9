// Package cli holds what the binaries share: flags, settings, logs, signals,
// exit codes, HTTP listeners and the pages of the admin listener.
package cli
