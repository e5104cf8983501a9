// Command buckthornpick-entry is the daemon on every entry VM. It accepts
// callers' requests, owns each request from its claim to the end of its answer,
// routes it to a backend server and streams the answer back.
package main

import "buckthornpick/internal/entryd"

func main() { entryd.Daemon().Main() }
