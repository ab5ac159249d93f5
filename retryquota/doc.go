// Package retryquota limits the repeated sends of one instance to its part of a budget that the fleet shares.
//
// Load pattern: many answers are lost or refused at once, and each instance would send all of its requests again.
package retryquota
