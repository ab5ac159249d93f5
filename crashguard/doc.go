// Package crashguard stops request contents that crash upstreams. A content that crashed one upstream is suspect: it
// runs exclusively on an upstream and in one trial at a time in the whole fleet. A content that crashed two upstreams
// is blocked and does not run again.
package crashguard
