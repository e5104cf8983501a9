// Command buckthornpick-dev runs a complete small site in one process on
// loopback: entries, planners, and stand-ins for the platform, the model engines,
// a plain service and the older system.
package main

import "buckthornpick/internal/devsite"

func main() { devsite.Main() }
