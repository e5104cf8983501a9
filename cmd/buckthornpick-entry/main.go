// Command buckthornpick-entry is the process on every entry VM: it takes
// callers' requests, owns and routes them and streams the answers back.
package main

import "buckthornpick/internal/entryd"

func main() { entryd.Daemon().Main() }
