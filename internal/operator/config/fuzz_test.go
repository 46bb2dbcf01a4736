package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/pkg/errors"
)

// mergePatch is an independent implementation of RFC 7396, section 2.
func mergePatch(target, patch any) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	t, ok := target.(map[string]any)
	if !ok {
		t = map[string]any{}
	}
	for key, value := range p {
		if value == nil {
			delete(t, key)
			continue
		}
		t[key] = mergePatch(t[key], value)
	}
	return t
}

// Guards against a merge that differs from RFC 7396, and against origins that do not
// match the merged values.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1}}`), []byte(`{"a":{"b":null}}`), []byte(`{"a":{"c":{}}}`))
	f.Add([]byte(`{"a":1}`), []byte(`{"a":{"b":null}}`), []byte(`{"a":2}`))
	f.Add([]byte(`{"a":[1,{"b":null}]}`), []byte(`{"a/b":"x","~":[]}`), []byte(`{"":{"":null}}`))
	f.Add([]byte(studioConfig), []byte(`{"services":{"studio":{"drain_time_ms":1}}}`), []byte(`{"services":null}`))
	f.Fuzz(func(t *testing.T, a, b, c []byte) {
		m := newMerger()
		var want any = map[string]any{}
		for i, content := range [][]byte{a, b, c} {
			if err := m.add(string(rune('a'+i)), content); err != nil {
				return
			}
			var patch any
			if err := decodeNumbers(content, &patch); err != nil {
				t.Fatalf("accepted %q: %v", content, err)
			}
			want = mergePatch(want, patch)
		}
		var got any
		if err := decodeNumbers(m.document, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("merged to %s, want %v", m.document, want)
		}
		values, err := Values(m.document)
		if err != nil {
			t.Fatal(err)
		}
		origins := map[string]string{}
		m.origins.flatten("", origins)
		for field := range values {
			if origins[field] == "" {
				t.Errorf("%s in %s has no origin", field, m.document)
			}
		}
		for field := range origins {
			if _, ok := values[field]; !ok {
				t.Errorf("%s has an origin and no value in %s", field, m.document)
			}
		}
		s, err := m.source()
		var problems Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatal(err)
		}
		if err == nil {
			for i, name := range s.document.ServiceNames() {
				if d := s.document.Definition(name, uint32(i)); len(d.GetAddresses()) == 0 {
					t.Errorf("service %s was accepted without addresses", name)
				}
			}
		}
	})
}

// Guards against a diff that misses a change or reports one that was not made.
func FuzzDiff(f *testing.F) {
	f.Add([]byte(`{"a":{"b":1},"c":[]}`), []byte(`{"a":{},"c":{"d":{}}}`))
	f.Add([]byte(`{"a":"x"}`), []byte(`{"a":{"b":"x"}}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		x, y := newMerger(), newMerger()
		if x.add("a", a) != nil || y.add("b", b) != nil {
			return
		}
		changes, err := Diff(x.document, y.document)
		if err != nil {
			t.Fatal(err)
		}
		before, err := Values(x.document)
		if err != nil {
			t.Fatal(err)
		}
		after, err := Values(y.document)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range changes {
			before[c.Field] = c.New
		}
		// The removal of the fields of an object shows that the object becomes empty.
		empty := func(_ string, value json.RawMessage) bool { return len(value) == 0 || value[0] == '{' }
		maps.DeleteFunc(before, empty)
		maps.DeleteFunc(after, empty)
		if !maps.EqualFunc(before, after, func(p, q json.RawMessage) bool { return bytes.Equal(p, q) }) {
			t.Fatalf("%s to %s gives %v: %v, want %v", x.document, y.document, changes,
				slices.Sorted(maps.Keys(before)), slices.Sorted(maps.Keys(after)))
		}
	})
}

// Guards against a panic on a corrupt manifest or body.
func FuzzDecode(f *testing.F) {
	s, err := newSource([]byte(studioConfig), map[string]string{})
	if err != nil {
		f.Fatal(err)
	}
	packed, digest, err := pack(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"version":1,"change_id":"c"}`), packed, digest)
	f.Add([]byte(`{}`), []byte{0x1f, 0x8b}, "")
	f.Fuzz(func(t *testing.T, manifest, packed []byte, digest string) {
		if m, err := DecodeManifest(manifest); err == nil && m.Version == 0 {
			t.Error("accepted version 0")
		} else if err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
		if _, err := unpack(packed, digest); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	})
}
