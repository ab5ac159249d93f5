// Package inifile reads INI text into the generated structs, checks each key against its rule,
// and reports all faults at once with their lines.
package inifile
