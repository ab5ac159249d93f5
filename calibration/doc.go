// Package calibration corrects forecasts by how far earlier ones were off.
package calibration
