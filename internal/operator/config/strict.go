package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxDepth bounds the recursion. It is far above the depth of the schema.
const maxDepth = 32

// checkStrict rejects mistakes that encoding/json accepts silently: duplicate keys in an
// object, text after the document, and null inside an array, where a merge patch removes
// nothing.
func checkStrict(content []byte) (err error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	if err = checkValue(decoder, "", 0, false); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("the file ends in the middle of a value")
		}
		return err
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("text after the end of the document at byte %d", decoder.InputOffset())
	}
	return nil
}

func checkValue(decoder *json.Decoder, at string, depth int, inArray bool) (err error) {
	if depth > maxDepth {
		return errors.Errorf("field %s: nested deeper than %d", at, maxDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		// Libraries for merge patches differ in how they treat null inside an array.
		if token == nil && inArray {
			return errors.Errorf("field %s: null in an array", at)
		}
		return nil
	}
	inArray = inArray || delim == '['
	seen := map[string]bool{}
	for decoder.More() {
		pointer := at
		if delim == '{' {
			if token, err = decoder.Token(); err != nil {
				return err
			}
			key, _ := token.(string)
			pointer = at + "/" + escapePointer(key)
			if seen[key] {
				return errors.Errorf("field %s is given twice", pointer)
			}
			seen[key] = true
		}
		if err = checkValue(decoder, pointer, depth+1, inArray); err != nil {
			return err
		}
	}
	_, err = decoder.Token()
	return err
}
