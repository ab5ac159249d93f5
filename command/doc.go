// Package command implements the command line of turmericdoor: its commands with their flags and help texts.
package command
