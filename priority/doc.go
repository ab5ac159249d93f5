// Package priority is a priority queue whose items can be moved and taken out from the middle.
package priority
