// Package storeclock relates the steady clock of the platform's store to that of this instance, so that what an answer of the store
// says is as old as the answer, however long it took to arrive and whichever way it came.
package storeclock
