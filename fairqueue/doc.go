// Package fairqueue holds the work that waits for one pool and decides what runs next: by rank, inside a
// rank fairly among organisations by cost, inside an organisation by deadline.
package fairqueue
