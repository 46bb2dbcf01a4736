package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// awaitTimeout bounds a wait; await -for changes it.
	awaitTimeout = 20 * time.Second
	awaitStep    = 20 * time.Millisecond
)

// await waits until done and fails the script after a time.
func (f *fleet) await(ts *testscript.TestScript, what string, done func() (ok bool, seen string)) {
	f.awaitFor(ts, awaitTimeout, what, done)
}

func (f *fleet) awaitFor(ts *testscript.TestScript, limit time.Duration, what string, done func() (ok bool, seen string)) {
	started := time.Now()
	for {
		ok, seen := done()
		if ok {
			ts.Logf("%s after %v", what, time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Since(started) > limit {
			ts.Fatalf("%s: not within %v, last seen: %s", what, limit, seen)
		}
		time.Sleep(awaitStep)
	}
}

// cmdAwait waits for a condition, at most 20 s or the time after -for:
//
//	await status PROCESS PATH OP VALUE    the status of a role
//	await hosts PROCESS SERVICE PATH OP VALUE   the hosts in the tables of a role
//	await metric PROCESS METRIC OP VALUE
//	await log PROCESS REGEXP
//	await file FILE REGEXP
//	await exit PROCESS CODE
//	await url URL                         an answer with status 200
//	await load PATH OP VALUE              the summary of all loads so far
//	await runs HOST OP VALUE              the runs in the record of a backend server
//	await elapsed MILLISECONDS            the passing of a lease or deadline that no process shows
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	limit := awaitTimeout
	if len(args) > 2 && args[0] == "-for" {
		var err error
		limit, err = time.ParseDuration(args[1])
		ts.Check(err)
		args = args[2:]
	}
	need(ts, neg, args, 2, "await [-for TIME] CONDITION ARGUMENT...")
	fleetOf(ts).awaitFor(ts, limit, strings.Join(args, " "), condition(ts, args))
}

func condition(ts *testscript.TestScript, args []string) func() (ok bool, seen string) {
	f := fleetOf(ts)
	counts := map[string]int{"status": 5, "hosts": 6, "metric": 5, "log": 3, "file": 3, "exit": 3, "load": 4, "runs": 4, "elapsed": 2, "url": 2}
	if counts[args[0]] != len(args) {
		ts.Fatalf("await %s: %d arguments, want %d", args[0], len(args)-1, counts[args[0]]-1)
	}
	started := time.Now()
	switch args[0] {
	case "status":
		return func() (bool, string) { return compareAt(f.admin(args[1], "Status", nil), args[2:]) }
	case "hosts":
		return func() (bool, string) {
			return compareAt(f.admin(args[1], "ListHosts", map[string]string{"service": args[2]}), args[3:])
		}
	case "metric":
		return func() (bool, string) { return compare(f.metric(args[1], args[2]), args[3], args[4]) }
	case "log":
		return matchFile(f.logFile(args[1]), regexp.MustCompile(args[2]))
	case "file":
		return matchFile(ts.MkAbs(args[1]), regexp.MustCompile(args[2]))
	case "url":
		return func() (bool, string) { return reachable(args[1]) }
	case "exit":
		return func() (bool, string) {
			p := f.process(args[1])
			if p == nil || !p.hasEnded() {
				return false, "running"
			}
			return strconv.Itoa(p.code) == args[2], fmt.Sprintf("exit code %d", p.code)
		}
	case "load":
		return func() (bool, string) { return compareAt(f.liveSummary(), args[1:]) }
	case "runs":
		return func() (bool, string) { return compare(float64(f.recorded(args[1])), args[2], args[3]) }
	}
	milliseconds, err := strconv.Atoi(args[1])
	ts.Check(err)
	return func() (bool, string) {
		return time.Since(started) >= time.Duration(milliseconds)*time.Millisecond, "not yet"
	}
}

// admin calls the admin API of a role; it returns nil when that does not answer.
func (f *fleet) admin(name, method string, request any) (value any) {
	if request == nil {
		request = struct{}{}
	}
	if err := call(http.MethodPost, "http://"+f.address(name+".http")+"/agateramp.admin.v1.AdminService/"+method, request, &value); err != nil {
		return err.Error()
	}
	return value
}

// metric returns a counter or gauge, which is 0 before it is first used.
func (f *fleet) metric(name, metric string) (value any) {
	var all map[string]map[string]any
	if err := call(http.MethodGet, "http://"+f.address(name+".http")+"/metrics", nil, &all); err != nil {
		return err.Error()
	}
	for _, field := range []string{"count", "value"} {
		if v, ok := all[metric][field]; ok {
			return v
		}
	}
	return 0.0
}

func matchFile(file string, pattern *regexp.Regexp) func() (ok bool, seen string) {
	return func() (bool, string) {
		text, err := os.ReadFile(file)
		if err != nil {
			return false, err.Error()
		}
		return pattern.Match(text), fmt.Sprintf("%d bytes without a match", len(text))
	}
}

// compareAt compares the value at a path of names: of fields, of list elements by
// their name, and "count" for the length of a list. The JSON of the admin API
// leaves out empty fields, which count as 0, false or "".
func compareAt(value any, args []string) (ok bool, seen string) {
	if text, failed := value.(string); failed {
		return false, text
	}
	for _, name := range strings.Split(args[0], ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			value = element(v, name)
		default:
			value = nil
			if name == "count" {
				value = 0.0
			}
		}
	}
	if list, isList := value.([]any); isList {
		value = float64(len(list))
	}
	return compare(value, args[1], args[2])
}

func element(list []any, name string) any {
	if name == "count" {
		return float64(len(list))
	}
	for _, e := range list {
		if fields, ok := e.(map[string]any); ok && fields["name"] == name {
			return fields
		}
	}
	return nil
}

func compare(value any, op, wanted string) (ok bool, seen string) {
	encoded, _ := json.Marshal(value)
	seen = string(encoded)
	number, err := strconv.ParseFloat(wanted, 64)
	if err != nil {
		text := fmt.Sprint(value)
		if value == nil {
			text = "false"
		}
		return op == "==" && text == wanted || op == "!=" && text != wanted, seen
	}
	have, isNumber := value.(float64)
	// The JSON of 64-bit numbers is a string.
	if text, isText := value.(string); isText {
		if have, err = strconv.ParseFloat(text, 64); err != nil {
			return false, seen
		}
		isNumber = true
	}
	if value != nil && !isNumber {
		return false, seen
	}
	switch op {
	case "==":
		return have == number, seen
	case "!=":
		return have != number, seen
	case ">=":
		return have >= number, seen
	case "<=":
		return have <= number, seen
	case ">":
		return have > number, seen
	case "<":
		return have < number, seen
	}
	return false, "unknown operator " + op
}
