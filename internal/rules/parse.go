package rules

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of a rules file.
const (
	// MaxFileBytes is the size limit of a rules file.
	MaxFileBytes = 1 << 20
	// maxLineErrors limits the number of errors that Parse reports.
	maxLineErrors = 100
)

// LineError is an error in a line of a rules file, with its remedy. Line is 1 for
// the first line and 0 for an error of the file as a whole.
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

// Parse parses the rules file of partner. It returns either the set or all errors
// of the file, up to maxLineErrors; a file with an error yields no set.
func Parse(partner string, file []byte) (*Set, []LineError) {
	if err := checkEncoding(file); err != nil {
		return nil, []LineError{*err}
	}
	p := &parser{set: &Set{Partner: partner, Objective: DefaultObjective}, firstLine: make(map[string]int)}
	number := 0
	for line := range strings.Lines(string(file)) {
		number++
		p.parseLine(number, strings.TrimRight(line, "\r\n"))
	}
	p.checkComplete(number)
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.set, nil
}

// PartnerOf returns the partner that the header of a rules file names, or "".
func PartnerOf(file []byte) string {
	for line := range strings.Lines(string(file)) {
		words := strings.Fields(stripComment(line))
		if len(words) == 0 {
			continue
		}
		if len(words) == 2 && words[0] == keywordPartner {
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
			Line:    1 + bytes.Count(file[:firstInvalidByte(file)], []byte{'\n'}),
			Message: "the file is not valid UTF-8",
			Remedy:  "save the file as UTF-8",
		}
	}
	return nil
}

// firstInvalidByte returns the offset of the first byte that is not valid UTF-8.
func firstInvalidByte(file []byte) int {
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

// Keywords of the header and the end line.
const (
	keywordPartner = "partner"
	keywordEnd     = "end"
)

// parser parses one file line by line.
type parser struct {
	set        *Set
	ruleCount  int
	headerSeen bool
	endSeen    bool
	firstLine  map[string]int // by subject of a rule, such as "model x": the line that has it
	errors     []LineError
}

func (p *parser) addError(line int, remedy, format string, args ...any) {
	if len(p.errors) == maxLineErrors {
		return
	}
	p.errors = append(p.errors, LineError{Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (p *parser) parseLine(number int, text string) {
	if strings.ContainsFunc(text, isForbidden) {
		p.addError(number, "remove control characters and byte order marks", "the line holds a control character")
		return
	}
	words := strings.Fields(stripComment(text))
	if len(words) == 0 {
		return
	}
	switch {
	case p.endSeen:
		p.addError(number, "move the end line to the end of the file", "there is a line after the end line")
	case words[0] == keywordPartner:
		p.parseHeader(number, words)
	case !p.headerSeen:
		p.headerSeen = true // reported once
		p.addError(number, "begin the file with: partner "+p.set.Partner, "the file does not begin with a partner line")
	case words[0] == keywordEnd:
		p.parseEnd(number, words)
	default:
		p.parseRule(number, text, words)
	}
}

func (p *parser) parseHeader(number int, words []string) {
	remedy := "begin the file with one line: partner " + p.set.Partner
	switch {
	case p.headerSeen:
		p.addError(number, remedy, "the partner line stands twice or not at the beginning")
	case len(words) != 2:
		p.addError(number, remedy, "the partner line must name one partner")
	case words[1] != p.set.Partner:
		p.addError(number, remedy, "the file is of partner %q, but it is published for %q", words[1], p.set.Partner)
	}
	p.headerSeen = true
}

func (p *parser) parseEnd(number int, words []string) {
	p.endSeen = true
	remedy := fmt.Sprintf("end the file with: end %d (if all rules are there)", p.ruleCount)
	if len(words) != 2 {
		p.addError(number, remedy, "the end line must give the number of rules")
		return
	}
	count, err := strconv.Atoi(words[1])
	if err != nil || strconv.Itoa(count) != words[1] {
		p.addError(number, remedy, "the end line gives no number of rules: %q", words[1])
		return
	}
	if count != p.ruleCount {
		p.addError(number, remedy, "the end line counts %d rules, the file has %d", count, p.ruleCount)
	}
}

func (p *parser) parseRule(number int, text string, words []string) {
	p.ruleCount++
	if !hasRequester(text) {
		p.addError(number, "end the line with: # <who asked>: <why>", "the rule has no comment on who asked for it")
	}
	parse, ok := ruleParsers[words[0]]
	if !ok {
		p.addError(number, "use one of "+kindNames()+"; docs/RULES.md has an example of each", "unknown kind of rule %q", words[0])
		return
	}
	parse(p, number, words[1:])
}

// checkUnique adds an error and returns false if an earlier rule has the same
// subject.
func (p *parser) checkUnique(number int, subject string) bool {
	if first, ok := p.firstLine[subject]; ok {
		p.addError(number, fmt.Sprintf("keep this line or line %d, not both", first), "%s is already given in line %d", subject, first)
		return false
	}
	p.firstLine[subject] = number
	return true
}

func (p *parser) checkComplete(lines int) {
	switch {
	case !p.headerSeen:
		p.addError(0, "begin the file with: partner "+p.set.Partner, "the file has no partner line")
	case !p.endSeen:
		p.addError(lines, "publish the whole file; its last line is: end <number of rules>", "the file has no end line, it seems to be half written")
	case p.ruleCount == 0:
		p.addError(0, "publish at least one rule", "the file has no rule")
	}
	p.checkTimeLimitOrder()
}

// checkTimeLimitOrder adds an error for each class whose time limit is shorter than
// that of the class of shorter prompts.
func (p *parser) checkTimeLimitOrder() {
	order := []Class{ClassShort, ClassMedium, ClassLong}
	for i, c := range order[1:] {
		line, ok := p.firstLine[timeLimitSubject(c)]
		if ok && p.set.LimitFor(c) < p.set.LimitFor(order[i]) {
			p.addError(line, "give longer prompts at least the time of shorter ones", "the limit of class %s (%s) is below that of class %s (%s)",
				c, p.set.LimitFor(c), order[i], p.set.LimitFor(order[i]))
		}
	}
}

func stripComment(line string) string {
	rule, _, _ := strings.Cut(line, "#")
	return rule
}

// hasRequester reports whether the line's comment has the form "who: why".
func hasRequester(line string) bool {
	_, comment, _ := strings.Cut(line, "#")
	who, why, ok := strings.Cut(comment, ":")
	return ok && strings.TrimSpace(who) != "" && strings.TrimSpace(why) != ""
}

func isForbidden(r rune) bool {
	return r != '\t' && (unicode.IsControl(r) || r == '\uFEFF')
}
