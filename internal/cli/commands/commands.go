// Package commands implements the agateramp command line: it parses arguments,
// runs the selected command and maps its error to an exit code. It starts the
// processes (balancer, agent), holds the operator commands, sends test load (load)
// and runs a whole system on one machine (dev); the work itself is done by the
// packages that the commands call.
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

// errUsage is the target for errors.Is that matches invalid arguments, settings
// and configuration. Commands that fail with it exit with exitUsage.
var errUsage = errors.New("usage")

// cli is the command tree that kong parses. The name of a command is the name of its field in lower case.
type cli struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer."`
	Agent    agentCommand    `cmd:"" help:"Run the agent beside a backend server."`
	Config   configCommand   `cmd:"" help:"Check, apply and inspect the configuration."`
	Status   statusCommand   `cmd:"" help:"Print the status that each process reports."`
	Drain    drainCommand    `cmd:"" help:"Stop sending new flows to a host, or resume."`
	Audit    auditCommand    `cmd:"" help:"Print and verify the audit trail."`
	Load     loadCommand     `cmd:"" help:"Send flows to a running system and print a summary."`
	Dev      devCommand      `cmd:"" help:"Run the whole system on loopback, for a first look."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// environment holds the output streams of a command; tests replace them.
type environment struct {
	stdout, stderr io.Writer
}

// Execute runs the command given by args, which exclude the program name, and
// returns the exit code. It blocks until the command ends.
func Execute(args []string) int {
	return execute(args, &environment{stdout: os.Stdout, stderr: os.Stderr})
}

func execute(args []string, env *environment) int {
	exitCode := -1
	parser, err := kong.New(&cli{}, kong.Name("agateramp"), kong.Writers(env.stdout, env.stderr),
		kong.Description("A layer-4 load balancer that keeps flows alive through planned change."),
		kong.Exit(func(code int) { exitCode = code }), kong.Bind(env))
	if err != nil {
		return printError(env, err, exitFailure)
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		return printError(env, err, exitUsage)
	}
	if err = ctx.Run(); errors.Is(err, errUsage) {
		return printError(env, err, exitUsage)
	}
	if err != nil {
		return printError(env, err, exitFailure)
	}
	return exitOK
}

// printError prints err to standard error and returns code.
func printError(env *environment, err error, code int) int {
	fmt.Fprintf(env.stderr, "agateramp: %v\n", err)
	return code
}
