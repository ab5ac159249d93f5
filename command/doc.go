// Package command is the command line of turmericdoor: a table of commands, each with its help and function.
package command
