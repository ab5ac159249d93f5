// Package hlc orders events of different instances by cause with a hybrid logical clock.
package hlc
