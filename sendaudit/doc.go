// Package sendaudit keeps account of what was sent of one request, and stops the process before a promise is broken.
package sendaudit
