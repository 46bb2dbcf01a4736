package commands

import (
	"fmt"
	"runtime"
)

// version is the version of the program; the linker sets it in release builds.
var version = "development"

type versionCommand struct{}

// Run prints the version of the program and of Go.
func (c *versionCommand) Run(env *environment) error {
	_, err := fmt.Fprintf(env.stdout, "agateramp %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
