// Package experiment runs the decision packages over small fakes with fake time: what was decided, and what
// came of it, by rank and organisation.
package experiment
