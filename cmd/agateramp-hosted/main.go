// Agateramp-hosted runs the processes of agateramp under a hosting platform.
package main

import (
	"os"

	"agateramp/internal/cli/hosted"
)

func main() {
	os.Exit(hosted.Execute(os.Args[1:]))
}
