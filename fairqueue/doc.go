// Package fairqueue is the queue of requests that wait for one pool. It serves ranks in order, except for the
// guaranteed floors of later ranks; organisations within a rank by weighted fair queueing over cost; and the
// requests of one organisation by deadline.
package fairqueue
