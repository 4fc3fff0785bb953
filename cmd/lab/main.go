// Command lab runs stand-ins for the platform, backend servers and callers, for
// tests and the quickstart.
package main

import (
	"os"

	"github.com/rhubarbpost/rhubarbpost/cmd/lab/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
