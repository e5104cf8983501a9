// Package fleet decides how many VMs of each class and zone, or how many backend
// servers in each zone, a service needs. It also defines the records that
// planners and entries exchange through the store.
package fleet
