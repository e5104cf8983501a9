// Command buckthornpick-load is an open-loop load generator: it sends callers'
// requests to entries, checks every answer and prints a report. It also measures
// the delay and processor time that an entry adds to a request.
package main

import "buckthornpick/internal/loadcmd"

func main() { loadcmd.Main() }
