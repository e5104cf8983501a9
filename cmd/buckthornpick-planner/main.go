// Command buckthornpick-planner runs beside every entry. The one that holds its
// zone's lease starts, drains and stops the zone's VMs and places models.
package main

import "buckthornpick/internal/plannerd"

func main() { plannerd.Daemon().Main() }
