// Package ratelimit holds what the answers of an upstream say about the rate of requests that it accepts.
package ratelimit
