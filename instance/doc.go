// Package instance puts one entry instance together from its parts and runs it from start to stop.
package instance
