// Command bpctl is the operators' tool: it reads and changes the document of a
// site, explains its rules and drains entries.
package main

import "buckthornpick/internal/control"

func main() { control.Main() }
