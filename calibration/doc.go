// Package calibration corrects forecasts of durations by the errors of earlier ones.
package calibration
