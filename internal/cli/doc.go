// Package cli holds the code that the binaries share: flags, settings, logging,
// signal handling, exit codes, listener TLS, and the admin listener with its
// pages.
package cli
