// Package timeline keeps an instance's latest events and merges those of many instances by cause.
package timeline
