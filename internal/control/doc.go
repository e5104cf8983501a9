// Package control is the command line of bpctl.
package control
