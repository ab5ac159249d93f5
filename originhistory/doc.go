// Package originhistory holds where the streams of each pipeline can have begun lately. If there was only one such place, no
// record of a single stream is needed.
//
// Load pattern: days with one software version, with a rolling wave to another one now and then.
package originhistory
