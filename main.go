// Agateramp is a layer-4 load balancer that keeps flows alive through planned change.
package main

import (
	"os"

	"agateramp/internal/cli/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
