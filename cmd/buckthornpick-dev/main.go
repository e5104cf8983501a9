// Command buckthornpick-dev runs a whole small site in one process on
// loopback: the platform's stand-ins, entries, engines, a plain service and an
// older system.
package main

import "buckthornpick/internal/devsite"

func main() { devsite.Main() }
