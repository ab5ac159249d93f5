// Package load sends requests at set rates, whether or not answers come, and reports how they fared.
package load
