// Package explain joins the structured logs of several hosts into the history
// of one request: its own lines, and what the hosts that handled it came to
// believe meanwhile about the targets it went to, the store and their peers.
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

// maxLineBytes bounds one line of a log, in bytes.
const maxLineBytes = 1 << 20

// contextWindow is how long before and after a request a host's beliefs are shown.
const contextWindow = 3 * time.Second

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Source  string // file, or host where the line is prefixed by one
	Message string
	Request string
	Target  string
	// Fields are all other members, as JSON texts in the order of their names.
	Fields []Field
}

// Field is one member of a line.
type Field struct{ Name, Value string }

// Read returns the lines of a log that can be read. A line may have words
// before its JSON object; the last of them names the source.
func Read(r io.Reader, source string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes(), source); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		source = words[len(words)-1]
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(text[start:], &members); err != nil {
		return Line{}, false // not a line of this program
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
			l.Time, _ = time.Parse(time.RFC3339Nano, value) // a line without a time sorts first
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

// RequestHistory returns the history of a request in the order of time: its own lines
// and those beliefs of the hosts that handled it that may have decided it.
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

// Write prints a history, with times since its first line.
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
