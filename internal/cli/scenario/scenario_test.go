// Package scenario runs stories over the roles as separate processes on loopback.
package scenario

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"agateramp/internal/cli/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"agateramp":       func() { os.Exit(commands.Execute(os.Args[1:])) },
		"fabric-standin":  fabricMain,
		"backend-standin": backendMain,
	})
}

// scripts numbers the scripts, so that each has a loopback address of its own.
var scripts atomic.Int32

// parallelScripts bounds the scripts at one time; each runs about ten processes.
const parallelScripts = 5

var places = make(chan struct{}, parallelScripts)

// Guards against breaches of the invariants by separate processes that are
// killed, paused, stopped and replaced; each script names its own failure.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios start processes")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts", Setup: setup, Cmds: scriptCommands(), RequireExplicitExec: true, RequireUniqueNames: true,
	})
}

func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"start":       cmdStart,
		"signal":      cmdSignal,
		"await":       cmdAwait,
		"store":       cmdStore,
		"fabric":      cmdFabric,
		"proxy":       cmdProxy,
		"balancer":    cmdBalancer,
		"backend":     cmdBackend,
		"agent":       cmdAgent,
		"apply":       cmdApply,
		"settled":     cmdSettled,
		"load":        cmdLoad,
		"finish":      cmdFinish,
		"expect":      cmdExpect,
		"mark":        cmdMark,
		"replace":     cmdReplace,
		"examples":    cmdExamples,
		"exits":       cmdExits,
		"readme":      cmdReadme,
		"definitions": cmdDefinitions,
	}
}

// setup gives a script its own address and replaces $IP in its JSON files.
func setup(env *testscript.Env) (err error) {
	places <- struct{}{}
	f := newFleet(fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, scripts.Add(1)), env.WorkDir)
	env.Values[fleetKey{}] = f
	env.Setenv("IP", f.ip)
	env.Defer(func() {
		defer func() { <-places }()
		f.end()
		f.report(env.T())
	})
	return filepath.WalkDir(env.WorkDir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		return replaceIn(path, "$IP", f.ip)
	})
}

func replaceIn(path, from, to string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.ReplaceAll(string(text), from, to)), 0o600)
}

// cmdReplace replaces a text in a file: replace FILE FROM TO.
func cmdReplace(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 3, "replace FILE FROM TO")
	ts.Check(replaceIn(ts.MkAbs(args[0]), args[1], args[2]))
}

// cmdExamples copies the folder examples of the repository, with the script's
// address in place of 127.0.0.1.
func cmdExamples(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "examples")
	to := ts.MkAbs("examples")
	ts.Check(os.CopyFS(to, os.DirFS("../../../examples")))
	ts.Check(filepath.WalkDir(to, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return replaceIn(path, "127.0.0.1", fleetOf(ts).ip)
	}))
}

// cmdExits runs a command to its end: exits CODE COMMAND ARGUMENT...
func cmdExits(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "exits CODE COMMAND ARGUMENT...")
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	code := 0
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}

// cmdReadme checks that the README prints the commands that the script runs.
func cmdReadme(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 0, "readme")
	readme, err := os.ReadFile("../../../README.md")
	ts.Check(err)
	script, err := os.ReadFile("testdata/scripts/readme.txtar")
	ts.Check(err)
	lines := regexp.MustCompile(`(?m)^    \./agateramp (.*)$`).FindAllSubmatch(readme, -1)
	if len(lines) < 5 {
		ts.Fatalf("the README prints %d commands", len(lines))
	}
	for _, line := range lines {
		command := "agateramp " + strings.NewReplacer("127.0.0.1", "$IP", `"`, "'").Replace(string(line[1]))
		if !strings.Contains(string(script), command+"\n") {
			ts.Fatalf("the script does not run the README's command %s", command)
		}
	}
}

func need(ts *testscript.TestScript, neg bool, args []string, least int, usage string) {
	if neg || len(args) < least {
		ts.Fatalf("usage: %s", usage)
	}
}
