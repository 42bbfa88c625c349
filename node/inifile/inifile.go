// Package inifile reads and writes a strict form of INI files: unknown and repeated
// sections and keys are errors, and values are not interpolated, continued on
// another line or inherited from another section.
package inifile

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxBytes is the largest accepted size of a file. A configuration with 63,000
// adapters takes about 7 MB.
const MaxBytes = 32 << 20

// Error reports a part of a file that is not acceptable, and the allowed values.
// Key is empty if the fault concerns a section as a whole. Section is also empty if
// the fault concerns the file as a whole.
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

// File is a parsed INI file.
type File struct {
	Path     string
	Sections []Section
}

// Section is a section of a file. The header "[model atlas]" has the kind "model"
// and the name "atlas"; "[host]" has no name.
type Section struct {
	Path, Kind, Name string
	Entries          []Entry
}

// Entry is one key with its value.
type Entry struct {
	Key, Value string
}

// loadOptions let the INI library return repeated sections and keys, so that Parse
// can refuse them instead of merging them silently.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Parse reads the contents of a file. Path is used only in errors, which are of
// type *Error.
func Parse(path string, data []byte) (*File, error) {
	if err := checkText(path, data); err != nil {
		return nil, err
	}
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, &Error{File: path, Allowed: "an INI file: " + err.Error()}
	}
	file := &File{Path: path}
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
		file.Sections = append(file.Sections, s)
	}
	return file, nil
}

// checkText returns an error for text that the INI library would silently drop or
// misinterpret, and for a file that is larger than MaxBytes.
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

// parseSection converts a section of the INI library. It refuses repeated keys and
// values that are not plain.
func parseSection(path string, raw *ini.Section) (Section, error) {
	s := Section{Path: path}
	s.Kind, s.Name, _ = strings.Cut(raw.Name(), " ")
	for _, k := range raw.Keys() {
		values := k.ValueWithShadows()
		if len(values) != 1 {
			return s, s.NewError(k.Name(), strings.Join(values, ", "), "given once")
		}
		if !isPlain(values[0]) {
			return s, s.NewError(k.Name(), values[0], "one line of text without quotes, backslashes or comment signs")
		}
		s.Entries = append(s.Entries, Entry{Key: k.Name(), Value: values[0]})
	}
	return s, nil
}

// isPlain reports whether a value remains unchanged when it is written to a file and
// read again.
func isPlain(value string) bool {
	if strings.TrimSpace(value) != value {
		return false
	}
	return !strings.ContainsFunc(value, func(r rune) bool {
		return r < ' ' || r == 0x7f || strings.ContainsRune("\"'`\\;#", r)
	})
}

// Header returns the text between the brackets of the section's header.
func (s Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// NewError returns an error about a key of the section, or about the section as a
// whole if key is empty.
func (s Section) NewError(key, value, allowed string) *Error {
	return &Error{File: s.Path, Section: s.Header(), Key: key, Value: value, Allowed: allowed}
}

// Decode sets the variables of the fields from the section's entries. It returns an
// *Error for an unknown key, a value that is not allowed, or a missing required key.
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
			return s.NewError(e.Key, e.Value, "one of the keys "+strings.Join(keys, ", "))
		}
		if err := f.parse(e.Value); err != nil {
			return s.NewError(e.Key, e.Value, f.Allowed)
		}
		given[e.Key] = true
	}
	for _, f := range fields {
		if f.Required && !given[f.Key] {
			return s.NewError(f.Key, "", "set to "+f.Allowed)
		}
	}
	return nil
}

// Writer builds the contents of an INI file.
type Writer struct {
	buf bytes.Buffer
}

// Comment writes every line of text as a comment line.
func (w *Writer) Comment(text string) {
	for line := range strings.Lines(text) {
		w.buf.WriteString("; " + strings.TrimRight(line, "\n") + "\n")
	}
}

// Section writes a section. It omits optional fields whose variables have the zero
// value.
func (w *Writer) Section(kind, name string, fields ...Field) {
	if w.buf.Len() > 0 {
		w.buf.WriteByte('\n')
	}
	w.buf.WriteString("[" + Section{Kind: kind, Name: name}.Header() + "]\n")
	for _, f := range fields {
		if f.Required || !f.isZero() {
			w.buf.WriteString(f.Key + " = " + f.format() + "\n")
		}
	}
}

// Bytes returns the file's contents.
func (w *Writer) Bytes() []byte { return w.buf.Bytes() }
