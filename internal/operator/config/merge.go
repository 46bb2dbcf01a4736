package config

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"maps"
	"path"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// maxFileBytes limits the size of one configuration file.
const maxFileBytes = 16 << 20

// Source is a merged configuration with the file that set each value. It is read from
// a folder or from the store.
type Source struct {
	raw      []byte
	origins  map[string]string
	document *Document
}

// Raw returns the merged JSON with sorted keys and without defaults. The caller must
// not modify it.
func (s *Source) Raw() []byte { return s.raw }

// Document returns the decoded configuration with defaults filled in.
func (s *Source) Document() *Document { return s.document }

// Origins returns the file that set each value, by JSON pointer.
func (s *Source) Origins() map[string]string { return maps.Clone(s.origins) }

// ReadFolder merges the JSON files of a folder in the order of their names, each as a
// JSON merge patch (RFC 7396), and checks the result. Files whose names begin with a
// dot are skipped. If the content is invalid, the error is of type Problems.
func ReadFolder(folder fs.FS) (s *Source, err error) {
	files, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, errors.WithMessage(err, "read configuration folder")
	}
	m := newMerger()
	merged := 0
	var problems Problems
	for _, f := range files {
		name := f.Name()
		if strings.HasPrefix(name, ".") {
			continue
		}
		if f.IsDir() || path.Ext(name) != ".json" {
			problems = append(problems, Problem{File: name, Message: "not a .json file"})
			continue
		}
		content, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, errors.WithMessage(err, "read configuration folder")
		}
		if err := m.add(name, content); err != nil {
			problems = append(problems, Problem{File: name, Message: err.Error()})
		}
		merged++
	}
	if merged == 0 {
		// Applying an empty folder would remove every service.
		problems = append(problems, Problem{Message: "the folder has no .json file"})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return m.source()
}

// merger applies JSON merge patches and records which file set each value.
type merger struct {
	document []byte
	origins  origin
}

func newMerger() *merger { return &merger{document: []byte("{}")} }

// origin is a node of a tree with the shape of the merged document. A node of an
// object with fields has fields; any other node has the file that set its value.
type origin struct {
	file   string
	fields map[string]*origin
}

func (o *origin) apply(patch map[string]any, file string) {
	if o.fields == nil {
		o.fields = map[string]*origin{}
	}
	for key, value := range patch {
		switch value := value.(type) {
		case nil:
			delete(o.fields, key)
		case map[string]any:
			if o.fields[key] == nil {
				o.fields[key] = &origin{}
			}
			o.fields[key].apply(value, file)
		default:
			o.fields[key] = &origin{file: file}
		}
	}
	if o.file = ""; len(o.fields) == 0 {
		o.file = file
	}
}

func (o *origin) flatten(at string, into map[string]string) {
	if o.file != "" && at != "" {
		into[at] = o.file
	}
	for key, field := range o.fields {
		field.flatten(at+"/"+escapePointer(key), into)
	}
}

func (m *merger) add(file string, content []byte) (err error) {
	if len(content) > maxFileBytes {
		return errors.Errorf("file has %d bytes, at most %d are allowed", len(content), maxFileBytes)
	}
	if err = checkStrict(content); err != nil {
		return err
	}
	var patch map[string]any
	if err = decodeNumbers(content, &patch); err != nil || patch == nil {
		return errors.New("the top level must be an object")
	}
	merged, err := jsonpatch.MergePatch(m.document, content)
	if err != nil {
		return err
	}
	m.document = merged
	m.origins.apply(patch, file)
	return nil
}

// source returns the merged document as a Source, or the problems found in it.
func (m *merger) source() (s *Source, err error) {
	origins := map[string]string{}
	m.origins.flatten("", origins)
	return newSource(m.document, origins)
}

func newSource(raw []byte, origins map[string]string) (s *Source, err error) {
	var value any
	if err = decodeNumbers(raw, &value); err != nil {
		return nil, errors.WithMessage(err, "merged configuration")
	}
	s = &Source{origins: origins}
	if s.raw, err = json.Marshal(value); err != nil {
		return nil, errors.WithMessage(err, "merged configuration")
	}
	if err = checkSchema(s.raw, origins); err != nil {
		return nil, err
	}
	if s.document, err = decodeDocument(s.raw); err != nil {
		return nil, err
	}
	if problems := s.checkSemantics(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

func escapePointer(key string) string { return pointerEscaper.Replace(key) }

// decodeNumbers decodes JSON and keeps numbers as written, without rounding.
func decodeNumbers(content []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	return decoder.Decode(target)
}

// originOf returns the file that set a value. If no file is recorded for the value, it
// returns the file of the nearest value above it, or else the last file, by name, of
// the values below it.
func originOf(origins map[string]string, pointer string) string {
	for p := pointer; p != ""; p = p[:strings.LastIndexByte(p, '/')] {
		if file := origins[p]; file != "" {
			return file
		}
	}
	below := ""
	for p, file := range origins {
		if strings.HasPrefix(p, pointer+"/") && file > below {
			below = file
		}
	}
	return below
}
