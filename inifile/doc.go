// Package inifile parses INI text into protobuf messages and checks each key against the rule of its field. It
// reports all faults at once, with their lines.
package inifile
