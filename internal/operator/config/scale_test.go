package config

import (
	"context"
	"fmt"
	"strings"
	"testing"
)

// fleetFolder is a configuration at design scale: 390 services, and an override
// for each of 7,400 hosts.
func fleetFolder() (files []string) {
	var services, hosts strings.Builder
	for i := range 390 {
		fmt.Fprintf(&services, `%q:{"idempotent":true,"queue_deadline_ms":2000,"addresses":[{"address":"10.1.%d.%d:443","protocol":"tcp"}]},`,
			fmt.Sprint("service-", i), i/250, i%250+1)
	}
	for i := range 7400 {
		fmt.Fprintf(&hosts, `"host-%d":{"service":"service-%d","weight":%d,"drain":false},`, i, i%390, 500+i)
	}
	object := func(name string, b *strings.Builder) string {
		return fmt.Sprintf(`{%q:{%s}}`, name, strings.TrimSuffix(b.String(), ","))
	}
	return []string{object("services", &services), object("hosts", &hosts)}
}

// Guards against a configuration at design scale that needs more than one chunk or a
// manifest of more than 64 KiB.
func TestFleetFits(t *testing.T) {
	s := readSource(t, fleetFolder()...)
	packed, _, err := pack(s)
	if err != nil {
		t.Fatal(err)
	}
	m := newStore(t)
	if _, err = Apply(context.Background(), m, newChange("c", "a", s)); err != nil {
		t.Fatal(err)
	}
	entry, _, err := m.Get(context.Background(), CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("document %d bytes, packed %d bytes, manifest %d bytes", len(s.raw), len(packed), len(entry.Value))
	if len(splitChunks(packed)) != 1 || len(entry.Value) > 64<<10 {
		t.Errorf("%d chunks, manifest of %d bytes", len(splitChunks(packed)), len(entry.Value))
	}
}

func BenchmarkReadFolder(b *testing.B) {
	files := folder(fleetFolder()...)
	for b.Loop() {
		if _, err := ReadFolder(files); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLoad(b *testing.B) {
	s, err := ReadFolder(folder(fleetFolder()...))
	if err != nil {
		b.Fatal(err)
	}
	packed, digest, err := pack(s)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := unpack(packed, digest); err != nil {
			b.Fatal(err)
		}
	}
}
