package registry

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against values of other programs under the key prefix that are decoded as agent entries.
func TestDecodeEntry(t *testing.T) {
	is := is.New(t)
	e := Entry{Node: "side-1", Address: netip.MustParseAddr("10.0.0.1"), Service: "studio"}
	value, err := e.Encode()
	is.NoErr(err)
	decoded, err := DecodeEntry(e.Key(), value)
	is.NoErr(err)
	is.Equal(decoded, e)
	for _, value := range []string{
		"", "{", "[]", "7", "\xff", `{"node":"side-1"}`, `{"node":"side-1","address":"10.0.0.1"}`,
		`{"node":"side-1","address":"here","service":"studio"}`, `{"node":7,"address":"10.0.0.1","service":"studio"}`,
		`{"address":"10.0.0.1","service":"studio"}`, `{"node":"side-2","address":"10.0.0.1","service":"studio"}`,
		`{"node":"side-1","address":"::1","service":"studio"}`, `{"node":"side-1","address":"0.0.0.0","service":"studio"}`,
	} {
		_, err := DecodeEntry(e.Key(), []byte(value))
		is.True(err != nil)
	}
}

// Guards against values in the store that crash the process, and against incomplete entries that decode without an
// error.
func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(`{"node":"side-1","address":"10.0.0.1","service":"studio"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := DecodeEntry(KeyPrefix+"side-1", value)
		is.New(t).Equal(err == nil, e.Node == "side-1" && e.Service != "" && e.Address.IsValid())
	})
}
