// Package admission refuses a request at once when its pipeline can't meet the deadline any more.
package admission
