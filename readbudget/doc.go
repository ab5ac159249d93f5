// Package readbudget bounds the memory of answers that are read completely, over all calls together.
package readbudget
