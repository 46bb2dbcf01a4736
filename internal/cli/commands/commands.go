// Package commands is the command line, one file for each command.
package commands

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks errors of arguments, settings and configuration; they exit with exitUsage.
var errUsage = errors.New("usage")

// cli is the command tree; each field's type stands in the file of its command.
type cli struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer."`
	Agent    agentCommand    `cmd:"" help:"Run the agent beside a backend server."`
	Config   configCommand   `cmd:"" help:"Check, apply and inspect the configuration."`
	Status   statusCommand   `cmd:"" help:"Print what processes say of themselves."`
	Drain    drainCommand    `cmd:"" help:"Have a host take no new flows, or take them again."`
	Audit    auditCommand    `cmd:"" help:"Print and verify the audit trail."`
	Load     loadCommand     `cmd:"" help:"Send flows to a running system and print what was seen."`
	Dev      devCommand      `cmd:"" help:"Run the whole system on loopback, for a first look."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// environment is what commands write to; tests replace it.
type environment struct {
	stdout, stderr io.Writer
}

// Execute runs the command that the arguments name and returns the exit code.
func Execute(args []string) int {
	return execute(args, &environment{stdout: os.Stdout, stderr: os.Stderr})
}

func execute(args []string, env *environment) int {
	exited := -1
	parser, err := kong.New(&cli{}, kong.Name("agateramp"), kong.Writers(env.stdout, env.stderr),
		kong.Description("A layer-4 load balancer that keeps flows alive through planned change."),
		kong.Exit(func(code int) { exited = code }), kong.Bind(env))
	if err != nil {
		return report(env, err, exitFailure)
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return report(env, err, exitUsage)
	}
	if err = ctx.Run(); errors.Is(err, errUsage) {
		return report(env, err, exitUsage)
	}
	if err != nil {
		return report(env, err, exitFailure)
	}
	return exitOK
}

func report(env *environment, err error, code int) int {
	fmt.Fprintf(env.stderr, "agateramp: %v\n", err)
	return code
}
