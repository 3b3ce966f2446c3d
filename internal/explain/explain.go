// Package explain merges the structured logs of several hosts into the history of
// one request: its own log lines, and the state changes of its targets, the store
// and peers that the hosts handling it logged around that time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the largest log line that can be read.
const maxLineBytes = 1 << 20

// contextWindow is how long before and after a request the other log lines of its
// hosts are shown.
const contextWindow = 3 * time.Second

// Line is one parsed log line.
type Line struct {
	Time    time.Time
	Source  string // name of the log file, or the host in the line's prefix
	Message string
	Request string
	Target  string
	// Fields are the remaining JSON members and the target, sorted by name.
	Fields []Field
}

// Field is one JSON member of a log line. A value other than a string is JSON text.
type Field struct{ Name, Value string }

// Read parses a log and skips lines without a JSON object that has a message. A line
// may have a prefix before its JSON object; the last word of the prefix is the
// source.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	err := Objects(r, source, func(object []byte, source string) {
		if l, ok := parse(object, source); ok {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// Objects calls use with the JSON object and the source of each line that has one. The
// object is valid until use returns.
func Objects(r io.Reader, source string, use func(object []byte, source string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if object, source, ok := splitPrefix(scanner.Bytes(), source); ok {
			use(object, source)
		}
	}
	return scanner.Err()
}

// splitPrefix splits a log line into the prefix before its JSON object and the object. The
// last word of the prefix is the source of the line, if there is one.
func splitPrefix(text []byte, source string) (object []byte, lineSource string, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, "", false
	}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		source = words[len(words)-1]
	}
	return text[start:], source, true
}

func parse(object []byte, source string) (Line, bool) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object, &members); err != nil {
		return Line{}, false // not a structured log line
	}
	l := Line{Source: source}
	for name, raw := range members {
		value := string(raw)
		var unquoted string
		if json.Unmarshal(raw, &unquoted) == nil {
			value = unquoted
		}
		switch name {
		case "ts":
			l.Time, _ = time.Parse(time.RFC3339Nano, value) // a line without a timestamp sorts first
		case "msg":
			l.Message = value
		case "request":
			l.Request = value
		case "level":
		default:
			if name == "target" {
				l.Target = value
			}
			l.Fields = append(l.Fields, Field{name, value})
		}
	}
	slices.SortFunc(l.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return l, l.Message != ""
}

// RequestHistory returns the history of a request sorted by time: its own log lines,
// and those lines of the hosts that handled it that belong to no request, name no
// other target and lie within contextWindow of it.
func RequestHistory(id string, lines []Line) []Line {
	var requestLines []Line
	sources, targets := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Request == id {
			requestLines = append(requestLines, l)
			sources[l.Source] = true
			targets[l.Target] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(requestLines, byTime)
	from, to := requestLines[0].Time.Add(-contextWindow), requestLines[len(requestLines)-1].Time.Add(contextWindow)
	history := requestLines
	for _, l := range lines {
		relevant := l.Target == "" || targets[l.Target]
		if l.Request == "" && sources[l.Source] && relevant && l.Time.After(from) && l.Time.Before(to) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, byTime)
	return history
}

// Write prints a history with times relative to its first line. An asterisk marks
// the request's own lines.
func Write(w io.Writer, history []Line) error {
	for _, l := range history {
		marker := " "
		if l.Request != "" {
			marker = "*"
		}
		var fields []string
		for _, f := range l.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		since := l.Time.Sub(history[0].Time).Seconds()
		if _, err := fmt.Fprintf(w, "%s %8.3f s  %-20s %s  %s\n", marker, since, l.Source, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
