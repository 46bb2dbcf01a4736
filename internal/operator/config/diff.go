package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"agateramp/internal/operator/audit"
)

// Diff returns the values that differ between two JSON documents, ordered by the JSON
// pointer of the field.
func Diff(before, after []byte) (changes []audit.FieldChange, err error) {
	var a, b any
	if err = decodeNumbers(before, &a); err != nil {
		return nil, err
	}
	if err = decodeNumbers(after, &b); err != nil {
		return nil, err
	}
	changes = diffValues(changes, "", a, b)
	slices.SortFunc(changes, func(x, y audit.FieldChange) int { return cmp.Compare(x.Field, y.Field) })
	return changes, nil
}

// Values returns every value of a document that has no fields below it, by JSON
// pointer. Empty objects are included.
func Values(raw []byte) (values map[string]json.RawMessage, err error) {
	changes, err := Diff([]byte("{}"), raw)
	values = make(map[string]json.RawMessage, len(changes))
	for _, c := range changes {
		values[c.Field] = c.New
	}
	return values, err
}

func diffValues(changes []audit.FieldChange, at string, a, b any) []audit.FieldChange {
	x, xIsObject := a.(map[string]any)
	y, yIsObject := b.(map[string]any)
	if !xIsObject && !yIsObject {
		before, after := encode(a), encode(b)
		if !bytes.Equal(before, after) {
			changes = append(changes, audit.FieldChange{Field: at, Old: before, New: after})
		}
		return changes
	}
	// The fields below do not show the change if an object replaces another kind of
	// value, or if an empty object is added or removed.
	if xIsObject != yIsObject && len(x)+len(y) == 0 || a != nil && !xIsObject || b != nil && !yIsObject {
		changes = append(changes, audit.FieldChange{Field: at, Old: encode(a), New: encode(b)})
	}
	keys := maps.Clone(x)
	if keys == nil {
		keys = map[string]any{}
	}
	maps.Copy(keys, y)
	for key := range keys {
		changes = diffValues(changes, at+"/"+escapePointer(key), x[key], y[key])
	}
	return changes
}

// encode returns the JSON of a decoded value, or nil if the value is not set.
func encode(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	// Decoded JSON can always be encoded again.
	b, _ := json.Marshal(value)
	return b
}

// overlap returns the fields of a that b also changes, either the same field or one
// above or below it.
func overlap(a, b []audit.FieldChange) (fields []string) {
	for _, x := range a {
		if slices.ContainsFunc(b, func(y audit.FieldChange) bool {
			return x.Field == y.Field || strings.HasPrefix(x.Field, y.Field+"/") || strings.HasPrefix(y.Field, x.Field+"/")
		}) {
			fields = append(fields, x.Field)
		}
	}
	return fields
}

// sortUnique orders problems by field and message and removes duplicates.
func sortUnique(problems Problems) Problems {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(problems)
}
