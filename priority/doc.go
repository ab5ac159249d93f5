// Package priority implements a priority queue that allows items anywhere in it to be updated and removed.
package priority
