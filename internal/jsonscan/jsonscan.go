// Package jsonscan splits a JSON object or array into its members without decoding
// them. Unlike encoding/json it accepts members that are nested to any depth, so that
// one member that can't be decoded does not hide the others.
package jsonscan

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrSyntax means that the text is not the JSON object or array that was expected.
var ErrSyntax = errors.New("invalid JSON")

// Object returns the members of a JSON object. Of members with the same name the last
// one counts. The values are not checked beyond their extent.
func Object(data []byte) (map[string]json.RawMessage, error) {
	s := scanner{data: data}
	out := map[string]json.RawMessage{}
	err := s.members('{', '}', func() error {
		raw, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(raw, &name); err != nil || s.next() != ':' {
			return ErrSyntax
		}
		s.at++
		out[name], err = s.value()
		return err
	})
	return out, err
}

// Array returns the elements of a JSON array.
func Array(data []byte) ([]json.RawMessage, error) {
	var out []json.RawMessage
	err := Elements(data, func(raw json.RawMessage) error {
		out = append(out, raw)
		return nil
	})
	return out, err
}

// Elements calls handle for each element of a JSON array, until it returns an error.
func Elements(data []byte, handle func(json.RawMessage) error) error {
	s := scanner{data: data}
	return s.members('[', ']', func() error {
		raw, err := s.value()
		if err != nil {
			return err
		}
		return handle(raw)
	})
}

// scanner is a position in a JSON text.
type scanner struct {
	data []byte
	at   int
}

// next skips white space and returns the byte after it, or 0 at the end.
func (s *scanner) next() byte {
	for ; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// members calls member at the start of each member between two brackets.
func (s *scanner) members(open, end byte, member func() error) error {
	if s.next() != open {
		return ErrSyntax
	}
	s.at++
	if s.next() == end {
		return nil
	}
	for {
		if err := member(); err != nil {
			return err
		}
		switch s.next() {
		case ',':
			s.at++
		case end:
			return nil
		default:
			return ErrSyntax
		}
	}
}

// value skips one value, of any depth, and returns it.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if !s.text() {
				return nil, ErrSyntax
			}
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			if depth == 0 {
				return s.from(start)
			}
			depth--
			s.at++
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.from(start)
			}
			s.at++
			continue
		default:
			s.at++
			continue
		}
		if depth == 0 {
			return s.from(start)
		}
	}
	return nil, ErrSyntax
}

// from returns the text from a start to the position, which must not be empty.
func (s *scanner) from(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, ErrSyntax
	}
	return json.RawMessage(s.data[start:s.at]), nil
}

// text skips a string and reports whether it ends.
func (s *scanner) text() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}
