// Package control implements bpctl, the operators' command-line tool.
package control
