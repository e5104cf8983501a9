// Command buckthornpick-planner runs beside every entry. In each zone, the
// planner that holds the zone's lease starts, drains and stops the zone's VMs and
// places models on them.
package main

import "buckthornpick/internal/plannerd"

func main() { plannerd.Daemon().Main() }
