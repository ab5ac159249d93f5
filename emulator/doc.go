// Package emulator emulates the systems that turmericdoor depends on, for tests: inference engines,
// encoders, retrievers, rerankers, plain HTTP services, and the platform with its table service and
// instance list. Faults are injected over HTTP while a stand-in runs.
package emulator
