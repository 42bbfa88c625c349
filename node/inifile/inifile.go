// Package inifile reads and writes INI files strictly: unknown and repeated
// sections and keys are errors, and no value is interpolated, continued on
// another line or inherited from another section.
package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxBytes bounds the size of one file. A configuration with 63,000 adapters
// takes about 7 MB.
const MaxBytes = 32 << 20

// Error names the part of a file that is not acceptable, and what is.
type Error struct {
	File, Section, Key, Value, Allowed string
}

func (e *Error) Error() string {
	switch {
	case e.Section == "":
		return fmt.Sprintf("%s: must be %s", e.File, e.Allowed)
	case e.Key == "":
		return fmt.Sprintf("%s: [%s]: must be %s", e.File, e.Section, e.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: must be %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// File is a parsed file.
type File struct {
	Path     string
	Sections []Section
}

// Section is one section. A header "[model atlas]" has the kind "model" and the
// name "atlas"; "[host]" has no name.
type Section struct {
	Path, Kind, Name string
	Entries          []Entry
}

// Entry is one key with its value.
type Entry struct {
	Key, Value string
}

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Parse reads data. Path is used in errors only.
func Parse(path string, data []byte) (*File, error) {
	if err := checkText(path, data); err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, &Error{File: path, Allowed: "an INI file: " + err.Error()}
	}
	f := &File{Path: path}
	seen := map[string]bool{}
	for _, raw := range parsed.Sections() {
		if raw.Name() == ini.DefaultSection && len(raw.Keys()) == 0 {
			continue
		}
		s, err := parseSection(path, raw)
		if err != nil {
			return nil, err
		}
		if seen[s.Header()] {
			return nil, &Error{File: path, Section: s.Header(), Allowed: "given once"}
		}
		seen[s.Header()] = true
		f.Sections = append(f.Sections, s)
	}
	return f, nil
}

// checkText refuses what the INI library would drop or read in a surprising way.
func checkText(path string, data []byte) error {
	if len(data) > MaxBytes {
		return &Error{File: path, Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}
	}
	if !utf8.Valid(data) {
		return &Error{File: path, Allowed: "UTF-8 text"}
	}
	for i, line := range bytes.Split(data, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] != '[' {
			continue
		}
		_, rest, found := bytes.Cut(line, []byte{']'})
		rest = bytes.TrimSpace(rest)
		if !found || len(rest) > 0 && rest[0] != ';' && rest[0] != '#' || bytes.IndexByte(rest, ']') >= 0 {
			return &Error{File: path, Allowed: fmt.Sprintf("an INI file: line %d is not a section header", i+1)}
		}
	}
	return nil
}

func parseSection(path string, raw *ini.Section) (Section, error) {
	s := Section{Path: path}
	s.Kind, s.Name, _ = strings.Cut(raw.Name(), " ")
	for _, k := range raw.Keys() {
		values := k.ValueWithShadows()
		if len(values) != 1 {
			return s, s.Error(k.Name(), strings.Join(values, ", "), "given once")
		}
		if !plain(values[0]) {
			return s, s.Error(k.Name(), values[0], "one line of text without quotes, backslashes or comment signs")
		}
		s.Entries = append(s.Entries, Entry{Key: k.Name(), Value: values[0]})
	}
	return s, nil
}

// plain reports whether a value reads back as it is written.
func plain(value string) bool {
	if strings.TrimSpace(value) != value {
		return false
	}
	return !strings.ContainsFunc(value, func(r rune) bool {
		return r < ' ' || r == 0x7f || strings.ContainsRune("\"'`\\;#", r)
	})
}

// Header is the text between the brackets.
func (s Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Error returns an error about one key of the section, or about the section as
// a whole when key is empty.
func (s Section) Error(key, value, allowed string) *Error {
	return &Error{File: s.Path, Section: s.Header(), Key: key, Value: value, Allowed: allowed}
}

// Decode sets the fields from the section's entries.
func (s Section) Decode(fields ...Field) error {
	byKey := map[string]Field{}
	keys := make([]string, 0, len(fields))
	for _, f := range fields {
		byKey[f.Key] = f
		keys = append(keys, f.Key)
	}
	given := map[string]bool{}
	for _, e := range s.Entries {
		f, ok := byKey[e.Key]
		if !ok {
			return s.Error(e.Key, e.Value, "one of the keys "+strings.Join(keys, ", "))
		}
		if err := f.parse(e.Value); err != nil {
			return s.Error(e.Key, e.Value, f.Allowed)
		}
		given[e.Key] = true
	}
	for _, f := range fields {
		if f.Required && !given[f.Key] {
			return s.Error(f.Key, "", "set to "+f.Allowed)
		}
	}
	return nil
}

// Writer builds a file.
type Writer struct {
	buf bytes.Buffer
}

// Comment writes comment lines.
func (w *Writer) Comment(text string) {
	for line := range strings.Lines(text) {
		w.buf.WriteString("; " + strings.TrimRight(line, "\n") + "\n")
	}
}

// Section writes a section. Optional fields with their zero value are left out.
func (w *Writer) Section(kind, name string, fields ...Field) {
	if w.buf.Len() > 0 {
		w.buf.WriteByte('\n')
	}
	w.buf.WriteString("[" + Section{Kind: kind, Name: name}.Header() + "]\n")
	for _, f := range fields {
		if f.Required || !f.zero() {
			w.buf.WriteString(f.Key + " = " + f.format() + "\n")
		}
	}
}

// Bytes returns the file's contents.
func (w *Writer) Bytes() []byte { return w.buf.Bytes() }
