// Package claimant makes, completes and releases claims in the table service, many in one transaction.
package claimant
