// Package controller holds the leases of engine pools and orders the engines of held pools to load their models.
package controller
