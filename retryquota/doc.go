// Package retryquota limits the retries of one instance to its share of a retry budget of the whole fleet.
//
// Load pattern: many answers are lost or refused at once, and without a limit each instance would retry all of its
// requests.
package retryquota
