// Command bpctl is the operators' command-line tool. It reads and changes a
// site's document (its configuration), explains which rule applies to a request
// and drains entries.
package main

import "buckthornpick/internal/control"

func main() { control.Main() }
