// Agateramp-hosted runs the balancer and the agent of agateramp under a hosting platform.
// See package hosted for its command line.
package main

import (
	"os"

	"agateramp/internal/cli/hosted"
)

func main() {
	os.Exit(hosted.Execute(os.Args[1:]))
}
