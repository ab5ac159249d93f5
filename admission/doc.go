// Package admission refuses requests on arrival if their pipeline is not expected to meet the deadline.
package admission
