// Command turmericdoor runs an entry instance and operates a fleet of entry instances.
package main

import (
	"os"

	"github.com/turmericdoor/turmericdoor/command"
)

func main() {
	os.Exit(command.New(os.Stdout).Run(os.Args[1:]))
}
