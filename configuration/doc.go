// Package configuration loads and checks the settings file of a process.
package configuration
