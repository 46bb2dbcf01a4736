package config

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// walkSchema calls visit for every field that an operator can set.
func walkSchema(root, node map[string]any, at string, required bool, visit func(at string, node map[string]any, required bool)) {
	if ref, ok := node["$ref"].(string); ok {
		defs, _ := root["$defs"].(map[string]any)
		target, _ := defs[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
		merged := map[string]any{}
		for _, part := range []map[string]any{target, node} {
			for key, value := range part {
				merged[key] = value
			}
		}
		delete(merged, "$ref")
		node = merged
	}
	if at != "" && node["description"] != nil {
		visit(at, node, required)
	}
	needed, _ := node["required"].([]any)
	properties, _ := node["properties"].(map[string]any)
	for name, child := range properties {
		c, _ := child.(map[string]any)
		walkSchema(root, c, at+"/"+name, strings.Contains(fmt.Sprint(needed...), name), visit)
	}
	patterns, _ := node["patternProperties"].(map[string]any)
	for _, child := range patterns {
		name := "NAME"
		if at == "/hosts" {
			name = "HOST"
		}
		if c, _ := child.(map[string]any); at != "/load_sharing/services" {
			walkSchema(root, c, at+"/"+name, false, visit)
		}
	}
	if items, ok := node["items"].(map[string]any); ok {
		walkSchema(root, items, at, false, visit)
	}
}

// Guards against a reference page that omits a field, or whose default or range of a
// field differs from the schema.
func TestReferenceFitsSchema(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/configuration.md")
	is.NoErr(err)
	rows := map[string][]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(/[^`]*)` \\|(.*)\\|$").FindAllStringSubmatch(string(page), -1) {
		rows[m[1]] = strings.Split(m[2], "|")
	}
	var root map[string]any
	is.NoErr(json.Unmarshal(schemaJSON, &root))
	seen := 0
	walkSchema(root, root, "", false, func(at string, node map[string]any, required bool) {
		row := rows[at]
		if row == nil {
			t.Errorf("docs/configuration.md has no row for %s", at)
			return
		}
		seen++
		want := ""
		if value, ok := node["default"]; ok {
			b, err := json.Marshal(value)
			is.NoErr(err)
			want = "`" + string(b) + "`"
		} else if required {
			want = "required"
		} else if node["type"] == "integer" {
			want = "announced"
		}
		if got := strings.TrimSpace(row[2]); got != want {
			t.Errorf("%s: default is %q on the page and %q in the schema", at, got, want)
		}
		if low, ok := node["minimum"].(float64); ok {
			high, _ := node["maximum"].(float64)
			if got, want := strings.TrimSpace(row[1]), fmt.Sprintf("%.0f to %.0f", low, high); got != want {
				t.Errorf("%s: range is %q on the page and %q in the schema", at, got, want)
			}
		}
		if strings.HasSuffix(at, "_ms") && !strings.Contains(row[0], "milliseconds") {
			t.Errorf("%s: no unit on the page", at)
		}
	})
	is.Equal(seen, len(rows))
}

// Guards against defaults in the code that differ from those of the schema.
func TestDefaultsFitSchema(t *testing.T) {
	is := is.New(t)
	var root struct {
		Defs map[string]struct {
			Properties map[string]struct {
				Default any `json:"default"`
			} `json:"properties"`
		} `json:"$defs"`
	}
	is.NoErr(json.Unmarshal(schemaJSON, &root))
	for name, value := range map[string]any{"service": defaultService(), "sharing": defaultSharing(), "host": Host{}} {
		b, err := json.Marshal(value)
		is.NoErr(err)
		var code map[string]any
		is.NoErr(json.Unmarshal(b, &code))
		for field, property := range root.Defs[name].Properties {
			if property.Default != nil && property.Default != code[field] {
				t.Errorf("%s %s: default is %v in the schema and %v in the code", name, field, property.Default, code[field])
			}
		}
	}
}
