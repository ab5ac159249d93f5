// Package evacuation holds which failure domains operators have evacuated.
package evacuation
