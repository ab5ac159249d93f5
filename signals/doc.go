// Package signals receives the signals by which the platform asks a process to stop or to read its settings again.
package signals
