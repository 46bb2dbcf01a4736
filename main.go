// Agateramp is a layer-4 load balancer that keeps open flows alive during planned changes.
// See package commands for its command line.
package main

import (
	"os"

	"agateramp/internal/cli/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
