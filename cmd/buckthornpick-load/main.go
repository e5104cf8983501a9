// Command buckthornpick-load drives callers' requests against entries, open
// loop, checks every answer and reports; it also measures what an entry adds.
package main

import "buckthornpick/internal/loadcmd"

func main() { loadcmd.Main() }
