// Package controller keeps the leases of engine pools and gives their engines orders.
package controller
