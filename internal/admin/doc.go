// Package admin implements the operators' HTTP API under /admin/v1/ and its
// client.
package admin
