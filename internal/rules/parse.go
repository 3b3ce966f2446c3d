package rules

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a rules file.
const (
	// MaxFileBytes is the largest rules file that is read.
	MaxFileBytes = 1 << 20
	// maxLineErrors bounds how many bad lines Parse reports.
	maxLineErrors = 100
)

// LineError tells what is wrong with a line of a rules file and what to do
// about it. Line is 1 for the first line and 0 for the file as a whole.
type LineError struct {
	Line    int    `json:"line"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error returns the line, the message and the remedy.
func (e LineError) Error() string {
	if e.Line == 0 {
		return e.Message + "; " + e.Remedy
	}
	return fmt.Sprintf("line %d: %s; %s", e.Line, e.Message, e.Remedy)
}

// Parse reads the rules file of partner. It returns either the set or every
// fault of the file, up to a bound; a file with a fault yields no set.
func Parse(partner string, file []byte) (*Set, []LineError) {
	if err := checkEncoding(file); err != nil {
		return nil, []LineError{*err}
	}
	p := &parser{set: &Set{Partner: partner, Objective: DefaultObjective}, seen: make(map[string]int)}
	number := 0
	for line := range strings.Lines(string(file)) {
		number++
		p.line(number, strings.TrimRight(line, "\r\n"))
	}
	p.finish(number)
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.set, nil
}

// PartnerOf returns the partner that the header of a rules file names, or "".
func PartnerOf(file []byte) string {
	for line := range strings.Lines(string(file)) {
		words := strings.Fields(withoutComment(line))
		if len(words) == 0 {
			continue
		}
		if len(words) == 2 && words[0] == wordPartner {
			return words[1]
		}
		return ""
	}
	return ""
}

func checkEncoding(file []byte) *LineError {
	switch {
	case len(bytes.TrimSpace(file)) == 0:
		return &LineError{Message: "the file is empty", Remedy: "publish a file with a header, at least one rule and an end line"}
	case len(file) > MaxFileBytes:
		return &LineError{
			Message: fmt.Sprintf("the file has %d bytes, the limit is %d", len(file), MaxFileBytes),
			Remedy:  "shorten the comments or remove rules that are no longer needed",
		}
	case !utf8.Valid(file):
		return &LineError{
			Line:    1 + bytes.Count(file[:invalidAt(file)], []byte{'\n'}),
			Message: "the file is not valid UTF-8",
			Remedy:  "save the file as UTF-8",
		}
	}
	return nil
}

// invalidAt returns the offset of the first byte that is not valid UTF-8.
func invalidAt(file []byte) int {
	at := 0
	for at < len(file) {
		r, size := utf8.DecodeRune(file[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return at
}

// The words that frame a file.
const (
	wordPartner = "partner"
	wordEnd     = "end"
)

// parser reads one file line by line.
type parser struct {
	set    *Set
	rules  int
	header bool
	ended  bool
	seen   map[string]int // what a rule is about, to the line that says it
	errors []LineError
}

func (p *parser) fail(line int, remedy, format string, args ...any) {
	if len(p.errors) == maxLineErrors {
		return
	}
	p.errors = append(p.errors, LineError{Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (p *parser) line(number int, text string) {
	if strings.ContainsFunc(text, isForbidden) {
		p.fail(number, "remove control characters and byte order marks", "the line holds a control character")
		return
	}
	words := strings.Fields(withoutComment(text))
	if len(words) == 0 {
		return
	}
	switch {
	case p.ended:
		p.fail(number, "move the end line to the end of the file", "there is a line after the end line")
	case words[0] == wordPartner:
		p.headerLine(number, words)
	case !p.header:
		p.header = true // reported once
		p.fail(number, "begin the file with: partner "+p.set.Partner, "the file does not begin with a partner line")
	case words[0] == wordEnd:
		p.endLine(number, words)
	default:
		p.ruleLine(number, text, words)
	}
}

func (p *parser) headerLine(number int, words []string) {
	remedy := "begin the file with one line: partner " + p.set.Partner
	switch {
	case p.header:
		p.fail(number, remedy, "the partner line stands twice or not at the beginning")
	case len(words) != 2:
		p.fail(number, remedy, "the partner line must name one partner")
	case words[1] != p.set.Partner:
		p.fail(number, remedy, "the file is of partner %q, but it is published for %q", words[1], p.set.Partner)
	}
	p.header = true
}

func (p *parser) endLine(number int, words []string) {
	p.ended = true
	remedy := fmt.Sprintf("end the file with: end %d (if all rules are there)", p.rules)
	if len(words) != 2 {
		p.fail(number, remedy, "the end line must give the number of rules")
		return
	}
	count, err := strconv.Atoi(words[1])
	if err != nil || strconv.Itoa(count) != words[1] {
		p.fail(number, remedy, "the end line gives no number of rules: %q", words[1])
		return
	}
	if count != p.rules {
		p.fail(number, remedy, "the end line counts %d rules, the file has %d", count, p.rules)
	}
}

func (p *parser) ruleLine(number int, text string, words []string) {
	p.rules++
	if !hasRequester(text) {
		p.fail(number, "end the line with: # <who asked>: <why>", "the rule has no comment on who asked for it")
	}
	read, ok := readers[words[0]]
	if !ok {
		p.fail(number, "use one of "+kindNames()+"; docs/RULES.md has an example of each", "unknown kind of rule %q", words[0])
		return
	}
	read(p, number, words[1:])
}

// once reports a second rule about the same thing.
func (p *parser) once(number int, subject string) bool {
	if first, ok := p.seen[subject]; ok {
		p.fail(number, fmt.Sprintf("keep this line or line %d, not both", first), "%s is already given in line %d", subject, first)
		return false
	}
	p.seen[subject] = number
	return true
}

func (p *parser) finish(lines int) {
	switch {
	case !p.header:
		p.fail(0, "begin the file with: partner "+p.set.Partner, "the file has no partner line")
	case !p.ended:
		p.fail(lines, "publish the whole file; its last line is: end <number of rules>", "the file has no end line, it seems to be half written")
	case p.rules == 0:
		p.fail(0, "publish at least one rule", "the file has no rule")
	}
	p.checkLimits()
}

// checkLimits refuses a class with a shorter limit than a class of shorter prompts.
func (p *parser) checkLimits() {
	order := []Class{ClassShort, ClassMedium, ClassLong}
	for i, c := range order[1:] {
		line, ok := p.seen[timeLimitSubject(c)]
		if ok && p.set.TimeLimitFor(c) < p.set.TimeLimitFor(order[i]) {
			p.fail(line, "give longer prompts at least the time of shorter ones", "the limit of class %s (%s) is below that of class %s (%s)",
				c, p.set.TimeLimitFor(c), order[i], p.set.TimeLimitFor(order[i]))
		}
	}
}

func withoutComment(line string) string {
	rule, _, _ := strings.Cut(line, "#")
	return rule
}

// hasRequester tells whether the comment has the form "who: why".
func hasRequester(line string) bool {
	_, comment, _ := strings.Cut(line, "#")
	who, why, ok := strings.Cut(comment, ":")
	return ok && strings.TrimSpace(who) != "" && strings.TrimSpace(why) != ""
}

func isForbidden(r rune) bool {
	return r != '\t' && (unicode.IsControl(r) || r == '\uFEFF')
}
