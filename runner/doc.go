// Package runner runs requests through the stages of their pipelines: admission, retries, hedging and brownouts.
package runner
