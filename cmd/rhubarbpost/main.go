// Command rhubarbpost runs the processes of the query tier and manages its configuration.
package main

import (
	"os"

	"github.com/rhubarbpost/rhubarbpost/cmd/rhubarbpost/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
