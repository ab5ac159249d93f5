// Package emulator stands in for the systems that turmericdoor serves: engines, stage pools, plain services
// and the platform. Faults are switched on over HTTP while it runs.
package emulator
