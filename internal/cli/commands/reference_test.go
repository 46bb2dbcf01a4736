package commands

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const repositoryRoot = "../../.."

var (
	eventPattern  = regexp.MustCompile(`"event", "([a-z_]+)"|\.log\("([a-z_]+)"|\.warn\("([a-z_]+)"|Warn\(time\.Now\(\), "([a-z_]+)"|[dD]ecisions\.Log\([^"\n]+?, "([a-z_]+)"`)
	metricPattern = regexp.MustCompile(`(?:Counter|Gauge|Latency|GetOrRegisterCounter)\("([a-z._]+)"`)
	reasonPattern = regexp.MustCompile(`Reason\w+ +Reason = "([a-z_]+)"`)
)

// namesIn returns the names that the pattern captures in all Go source except tests.
func namesIn(t *testing.T, pattern *regexp.Regexp) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
				names[strings.Join(match[1:], "")] = true
			}
			return err
		})
		is.New(t).NoErr(err)
	}
	return names
}

// entryForPrefix returns the listed name for a prefix that the code completes at run
// time, such as packets.reset.REASON for packets.reset. (the page writes the completed
// part in capitals).
func entryForPrefix(listed map[string]bool, name string) (entry string, ok bool) {
	if !strings.HasSuffix(name, ".") && !strings.HasSuffix(name, "_") {
		return "", false
	}
	for entry := range listed {
		end, found := strings.CutPrefix(entry, name)
		if found && end == strings.ToUpper(end) {
			return entry, true
		}
	}
	return "", false
}

// Guards against metrics, reasons and events that are missing from the reference
// page, and against names on the page that the code no longer has.
func TestReferenceListsEveryName(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "metrics-and-logs.md"))
	is.New(t).NoErr(err)
	tests := []struct {
		section string
		pattern *regexp.Regexp
	}{
		{"Metrics", metricPattern},
		{"Reasons", reasonPattern},
		{"Events", eventPattern},
	}
	for _, test := range tests {
		t.Run(test.section, func(t *testing.T) {
			is := is.New(t)
			listed, used := namesInSection(string(page), test.section), make(map[string]bool)
			for name := range namesIn(t, test.pattern) {
				entry, ok := entryForPrefix(listed, name)
				if !ok {
					entry, ok = name, listed[name]
				}
				// The code completes "packets." by an outcome and a reason; the page lists
				// these names for each outcome, such as packets.dropped.REASON.
				if !ok && name != "packets." {
					t.Errorf("%q is not listed under %s", name, test.section)
				}
				used[entry] = true
			}
			for name := range listed {
				if !used[name] && !strings.HasSuffix(name, ".REASON") {
					t.Errorf("%q is listed under %s and not in the code", name, test.section)
				}
			}
			is.True(len(namesIn(t, test.pattern)) > 0)
		})
	}
}

// namesInSection returns the names in the first column of the table of a section.
func namesInSection(page, section string) map[string]bool {
	_, text, _ := strings.Cut(page, "\n## "+section+"\n")
	text, _, _ = strings.Cut(text, "\n## ")
	names := make(map[string]bool)
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			continue
		}
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[1], -1) {
			names[name[1]] = true
		}
	}
	return names
}
