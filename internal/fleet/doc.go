// Package fleet decides how many VMs of which class and zone a service needs,
// and carries the decisions out.
package fleet
