// Package resetguard tells the reset of a connection from its regular end while both directions are in use.
package resetguard
