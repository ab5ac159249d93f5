// Package calls counts calls that run in the background.
package calls
