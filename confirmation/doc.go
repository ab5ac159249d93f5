// Package confirmation lets many requests share a read that must begin after each of them arrived.
//
// Load pattern: many streams break at one moment, and all that are taken up need the same fresh read.
package confirmation
