// Package parser reads INI text into typed values. It reports all faults of a text
// together, each with its position and how to correct it.
package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fault is one mistake in a file.
type Fault struct {
	// File and Line are its position; Line is 0 if the line is unknown, such as that of
	// a missing key.
	File string
	Line int
	// Section and Key name the setting.
	Section string
	Key     string
	// Problem says what is wrong and Remedy how to correct it.
	Problem string
	Remedy  string
}

// String returns the fault as one line.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	name := "[" + f.Section + "]"
	if f.Key != "" {
		name += " " + f.Key
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, name, f.Problem, f.Remedy)
}

// Faults is an error that lists all faults of a file.
type Faults []Fault

// Error returns the faults as text, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Keys returns the section and key of each fault.
func (f Faults) Keys() []string {
	keys := make([]string, len(f))
	for i, fault := range f {
		keys[i] = fault.Section + " " + fault.Key
	}
	return keys
}

// Document is a parsed file that collects faults while it is read. It is not
// safe for concurrent use.
type Document struct {
	name          string
	lines         []string
	file          *ini.File
	faults        Faults
	knownSections []string
	values        []Setting
}

// Setting is the effective value of a key.
type Setting struct {
	Section string
	Key     string
	Value   string
	// IsSet reports whether the file sets the value, and Line is the line that sets it;
	// 0 means unknown.
	IsSet bool
	Line  int
}

// Origin returns where the value comes from: its line, "file" if the line is unknown,
// or "default".
func (s Setting) Origin() string {
	switch {
	case !s.IsSet:
		return "default"
	case s.Line == 0:
		return "file"
	}
	return "line " + strconv.Itoa(s.Line)
}

// Parse reads INI text. The name of the file is used in faults. If the text is not valid
// INI, Err of the returned Document says so.
func Parse(name, text string) *Document {
	d := &Document{name: name, lines: strings.Split(text, "\n")}
	options := ini.LoadOptions{SkipUnrecognizableLines: false, IgnoreInlineComment: false}
	file, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		d.faults = append(d.faults, Fault{File: name, Section: "", Problem: err.Error(), Remedy: "write [section] lines and key = value lines"})
		file = ini.Empty()
	}
	d.file = file
	return d
}

// AddFault adds a fault that the caller has found.
func (d *Document) AddFault(section, key, problem, remedy string) {
	d.faults = append(d.faults, Fault{
		File: d.name, Line: d.findLine(section, key),
		Section: section, Key: key, Problem: problem, Remedy: remedy,
	})
}

// Err returns all faults as Faults, or nil if there are none. It first adds a fault for
// each section of the file that was not read.
func (d *Document) Err() error {
	for _, s := range d.file.Sections() {
		empty := s.Name() == ini.DefaultSection && len(s.Keys()) == 0
		if empty || slices.Contains(d.knownSections, s.Name()) {
			continue
		}
		d.AddFault(s.Name(), "", "unknown section", "remove it, or correct its name")
	}
	if len(d.faults) == 0 {
		return nil
	}
	return d.faults
}

// Settings returns the values read so far, in the order of reading. They are valid only
// if Err returns nil.
func (d *Document) Settings() []Setting { return d.values }

// SectionNames returns the names of all sections of a kind, in file order: SectionNames("client")
// returns "a" for [client a].
func (d *Document) SectionNames(kind string) []string {
	var names []string
	for _, s := range d.file.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), kind+" "); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// HasSection reports whether the file contains the section.
func (d *Document) HasSection(section string) bool { return d.file.HasSection(section) }

// Section returns a reader for the section. All keys of a section that is not in the
// file are absent.
func (d *Document) Section(name string) *Section {
	d.knownSections = append(d.knownSections, name)
	s, err := d.file.GetSection(name)
	if err != nil {
		s = ini.Empty().Section(name)
	}
	return &Section{doc: d, section: s, name: name}
}

// findLine returns the line of a key, or of the section's head if the key is empty; 0
// means not found.
func (d *Document) findLine(section, key string) int {
	inside := false
	for i, text := range d.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			inside = text == "["+section+"]"
			if inside && key == "" {
				return i + 1
			}
			continue
		}
		name, _, found := strings.Cut(text, "=")
		if inside && found && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}

// Section reads the keys of one section.
type Section struct {
	doc       *Document
	section   *ini.Section
	name      string
	knownKeys []string
}

// Text returns the key's value, or defaultValue if the key is absent.
func (s *Section) Text(key, defaultValue string) string {
	s.knownKeys = append(s.knownKeys, key)
	v := Setting{Section: s.name, Key: key, Value: defaultValue}
	if s.section.HasKey(key) {
		v.Value, v.IsSet, v.Line = s.section.Key(key).String(), true, s.doc.findLine(s.name, key)
	}
	s.doc.values = append(s.doc.values, v)
	return v.Value
}

// RequiredText returns the key's value and adds a fault if it is absent or empty.
func (s *Section) RequiredText(key, remedy string) string {
	value := s.Text(key, "")
	if value == "" {
		s.doc.AddFault(s.name, key, "missing", remedy)
	}
	return value
}

// List returns the comma-separated values of the key.
func (s *Section) List(key string) []string {
	var list []string
	for part := range strings.SplitSeq(s.Text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Duration returns the key's value, a duration such as 250ms from low to high. If the
// value is invalid, it adds a fault and returns defaultValue.
func (s *Section) Duration(key string, defaultValue, low, high time.Duration) time.Duration {
	remedy := fmt.Sprintf("write a duration with its unit from %v to %v, such as %v", low, high, defaultValue)
	return readNumber(s, key, defaultValue, low, high, remedy, time.ParseDuration)
}

// Int returns the key's value, an integer from low to high. If the value is invalid, it
// adds a fault and returns defaultValue.
func (s *Section) Int(key string, defaultValue, low, high int) int {
	remedy := fmt.Sprintf("write a whole number from %d to %d", low, high)
	return readNumber(s, key, defaultValue, low, high, remedy, strconv.Atoi)
}

// Float returns the key's value, a number from low to high. If the value is invalid, it
// adds a fault and returns defaultValue.
func (s *Section) Float(key string, defaultValue, low, high float64) float64 {
	remedy := fmt.Sprintf("write a number from %v to %v", low, high)
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return readNumber(s, key, defaultValue, low, high, remedy, parse)
}

// Bool returns the key's value, true or false. If the value is invalid, it adds a fault
// and returns defaultValue.
func (s *Section) Bool(key string, defaultValue bool) bool {
	text := s.Text(key, strconv.FormatBool(defaultValue))
	value, err := strconv.ParseBool(text)
	if err != nil {
		s.doc.AddFault(s.name, key, "neither true nor false", "write true or false")
		return defaultValue
	}
	return value
}

// ReportUnknownKeys adds a fault for each key of the section that was not read.
func (s *Section) ReportUnknownKeys() {
	for _, k := range s.section.Keys() {
		if !slices.Contains(s.knownKeys, k.Name()) {
			s.doc.AddFault(s.name, k.Name(), "unknown key", "remove it, or use one of: "+strings.Join(s.knownKeys, ", "))
		}
	}
}

// readNumber returns the parsed value of a key. If the key is absent or empty, or the
// value invalid, it returns defaultValue; an invalid value also adds a fault.
func readNumber[T int | float64 | time.Duration](s *Section, key string, defaultValue, low, high T, remedy string, parse func(string) (T, error)) T {
	text := s.Text(key, fmt.Sprint(defaultValue))
	if text == "" {
		return defaultValue
	}
	value, err := parse(text)
	if err != nil {
		s.doc.AddFault(s.name, key, fmt.Sprintf("%q cannot be parsed", text), remedy)
		return defaultValue
	}
	if !(value >= low && value <= high) {
		s.doc.AddFault(s.name, key, fmt.Sprintf("%q is out of range", text), remedy)
		return defaultValue
	}
	return value
}
