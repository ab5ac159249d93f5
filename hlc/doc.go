// Package hlc implements a hybrid logical clock, which orders events of different instances causally.
package hlc
