// Package document holds the shared document: its text by team, its checked and linked form, and its check.
package document
