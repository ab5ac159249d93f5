// Package experiment simulates scenarios of load and faults with the program's decision packages, fake
// upstreams and fake time. It reports which requests were answered in time, by rank and organisation.
package experiment
