// Package timeline keeps the latest events of an instance and sorts events of several instances in causal order.
package timeline
