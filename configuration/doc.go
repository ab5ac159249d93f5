// Package configuration loads the settings file that a process starts from.
package configuration
