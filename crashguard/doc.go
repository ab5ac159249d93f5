// Package crashguard stops contents that crash upstreams: one that crashed an upstream runs alone, at one place
// of the fleet at a time, and one that crashed two does not run again.
package crashguard
