// Package hotpart decides how many engines serve a session, and which of them are expected to have its shared prompt parts
// cached.
//
// Load pattern: 28 in 100 requests of a kind have one shared prompt part, which is more than one engine can serve, besides many
// sessions with little demand; 68 instances, each of which sees a 68th of the demand, place the requests at 90 engines.
package hotpart
