package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// Keys of the configuration in the store.
const (
	keyPrefix = "/agateramp/config/"
	// CurrentKey holds the manifest of the current version.
	CurrentKey = keyPrefix + "current"
)

const (
	// chunkBytes is the maximum size of a chunk. It leaves room for the manifest and the
	// audit trail in a request, which the store limits to 1.5 MiB.
	chunkBytes = 512 << 10
	// maxBodyBytes limits the size of the decompressed content.
	maxBodyBytes = 64 << 20
	// defaultKeepVersions limits the disk space that versions use. At design scale a
	// version has 156 KB, so 590 changes a day would fill 33 GB a year.
	defaultKeepVersions = 1000
	// maxRemovedChunks keeps a transaction below the store's limit of 128 operations.
	maxRemovedChunks = 64
)

// ErrCorrupt is returned if a stored version cannot be decoded or does not match its
// manifest.
var ErrCorrupt = errors.New("configuration in the store is corrupt")

// Manifest describes one version of the configuration. The store holds it as JSON, so
// the names of its fields are a stored format.
type Manifest struct {
	// modRevision is the mod revision of CurrentKey. It is set only by Current and
	// WatchManifests, and 0 otherwise.
	modRevision int64

	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base"`
	// RollbackTo is the version whose content was restored, or 0.
	RollbackTo uint64 `json:"rollback_to,omitempty"`
	// Who is the operator who applied the change, and From the machine on which it was made.
	Who    string    `json:"who"`
	From   string    `json:"from"`
	Time   time.Time `json:"time"`
	Reason string    `json:"reason,omitempty"`
	// NextServiceID is the id of the next new service. Ids are never reused.
	NextServiceID uint32 `json:"next_service_id"`
	// Digest is the SHA-256 of the uncompressed content, in hexadecimal.
	Digest string `json:"digest"`
	// Chunks are the store keys of the compressed content, in order.
	Chunks   []string          `json:"chunks"`
	Services []ManifestService `json:"services"`
}

// ManifestService names a service and the version in which its definition,
// load-sharing rules or host overrides last changed.
type ManifestService struct {
	ID      uint32 `json:"id"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// body is the content of a version, which is stored compressed and in chunks. Origins
// holds the file that set each value, by JSON pointer.
type body struct {
	Document json.RawMessage   `json:"document"`
	Origins  map[string]string `json:"origins"`
}

// changeEntry is the stored value of a change id. A retry finds the entry if an earlier
// attempt took effect.
type changeEntry struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

func versionKey(version uint64) string { return fmt.Sprintf("%sversion/%010d", keyPrefix, version) }

func changeKey(id string) string { return keyPrefix + "change/" + id }

// chunkKey includes the change id and the digest, so that a delayed write of another
// attempt cannot overwrite a chunk of a version in use.
func chunkKey(version uint64, changeID, digest string, part int) string {
	return fmt.Sprintf("%schunk/%010d/%s/%.16s-%d", keyPrefix, version, changeID, digest, part)
}

// DecodeManifest decodes a manifest that the store holds.
func DecodeManifest(value []byte) (m *Manifest, err error) {
	m = &Manifest{}
	if err = json.Unmarshal(value, m); err != nil {
		return nil, errors.WithMessagef(ErrCorrupt, "manifest: %v", err)
	}
	if m.Version == 0 || m.ChangeID == "" {
		return nil, errors.WithMessage(ErrCorrupt, "manifest without version or change id")
	}
	return m, nil
}

// gzipWriters reuses compressors, because each new one allocates about 800 KiB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// pack compresses a source. The digest is the SHA-256 of the uncompressed content.
func pack(s *Source) (packed []byte, digest string, err error) {
	plain, err := json.Marshal(body{Document: s.raw, Origins: s.origins})
	if err != nil {
		return nil, "", err
	}
	if len(plain) > maxBodyBytes {
		return nil, "", errors.Errorf("configuration has %d bytes, at most %d are allowed", len(plain), maxBodyBytes)
	}
	sum := sha256.Sum256(plain)
	var b bytes.Buffer
	w, _ := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err = w.Write(plain); err != nil {
		return nil, "", err
	}
	if err = w.Close(); err != nil {
		return nil, "", err
	}
	return b.Bytes(), hex.EncodeToString(sum[:]), nil
}

// unpack decompresses the output of pack and verifies its digest.
func unpack(packed []byte, digest string) (s *Source, err error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.WithMessagef(ErrCorrupt, "chunks: %v", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil || len(plain) > maxBodyBytes {
		return nil, errors.WithMessagef(ErrCorrupt, "chunks: %d bytes: %v", len(plain), err)
	}
	if sum := sha256.Sum256(plain); hex.EncodeToString(sum[:]) != digest {
		return nil, errors.WithMessage(ErrCorrupt, "chunks do not match the digest of the manifest")
	}
	var b body
	if err = json.Unmarshal(plain, &b); err != nil {
		return nil, errors.WithMessagef(ErrCorrupt, "body: %v", err)
	}
	s = &Source{raw: b.Document, origins: b.Origins}
	if s.document, err = decodeDocument(s.raw); err != nil {
		return nil, errors.WithMessagef(ErrCorrupt, "%v", err)
	}
	return s, nil
}

func readBody(ctx context.Context, s store.Store, m *Manifest) (source *Source, err error) {
	var packed []byte
	for _, key := range m.Chunks {
		entry, _, err := s.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if entry == nil {
			return nil, errors.WithMessagef(ErrCorrupt, "chunk %q is missing", key)
		}
		packed = append(packed, entry.Value...)
	}
	return unpack(packed, m.Digest)
}
