package rules

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of a rules file and of its error report.
const (
	// MaxFileBytes is the largest accepted rules file, in bytes.
	MaxFileBytes = 1 << 20
	// maxLineErrors bounds the errors that Parse reports.
	maxLineErrors = 100
)

// LineError reports an error in a line of a rules file and how to correct it.
// Line counts from 1 and is 0 for the file as a whole.
type LineError struct {
	Line    int    `json:"line"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error returns the line number, the message and the remedy.
func (e LineError) Error() string {
	if e.Line == 0 {
		return e.Message + "; " + e.Remedy
	}
	return fmt.Sprintf("line %d: %s; %s", e.Line, e.Message, e.Remedy)
}

// Parse parses the rules file of partner. It returns either the set or the errors
// of the file, up to maxLineErrors. A file with an error yields no set, so rules
// never take effect in part.
func Parse(partner string, file []byte) (*Set, []LineError) {
	if err := checkFile(file); err != nil {
		return nil, []LineError{*err}
	}
	p := &parser{set: &Set{Partner: partner, Objective: DefaultObjective}, seen: make(map[string]int)}
	number := 0
	for line := range strings.Lines(string(file)) {
		number++
		p.parseLine(number, strings.TrimRight(line, "\r\n"))
	}
	p.finish(number)
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.set, nil
}

// PartnerOf returns the partner that the partner line of a rules file names, or ""
// if the file does not begin with a valid one.
func PartnerOf(file []byte) string {
	for line := range strings.Lines(string(file)) {
		words := strings.Fields(withoutComment(line))
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

// checkFile checks the size and the encoding of a file.
func checkFile(file []byte) *LineError {
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

// The keywords of the first and the last line of a file.
const (
	keywordPartner = "partner"
	keywordEnd     = "end"
)

// parser parses one file line by line.
type parser struct {
	set    *Set
	rules  int            // rules read so far
	header bool           // the partner line was read, or reported as missing
	ended  bool           // the end line was read
	seen   map[string]int // line number of each rule, by the rule's subject
	errors []LineError
}

func (p *parser) addError(line int, remedy, format string, args ...any) {
	if len(p.errors) == maxLineErrors {
		return
	}
	p.errors = append(p.errors, LineError{Line: line, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (p *parser) parseLine(number int, text string) {
	if strings.ContainsFunc(text, isDisallowed) {
		p.addError(number, "remove control characters and byte order marks", "the line holds a control character")
		return
	}
	words := strings.Fields(withoutComment(text))
	if len(words) == 0 {
		return
	}
	switch {
	case p.ended:
		p.addError(number, "move the end line to the end of the file", "there is a line after the end line")
	case words[0] == keywordPartner:
		p.parseHeader(number, words)
	case !p.header:
		p.header = true // do not report it again
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
	case p.header:
		p.addError(number, remedy, "the partner line stands twice or not at the beginning")
	case len(words) != 2:
		p.addError(number, remedy, "the partner line must name one partner")
	case words[1] != p.set.Partner:
		p.addError(number, remedy, "the file is of partner %q, but it is published for %q", words[1], p.set.Partner)
	}
	p.header = true
}

func (p *parser) parseEnd(number int, words []string) {
	p.ended = true
	remedy := fmt.Sprintf("end the file with: end %d (if all rules are there)", p.rules)
	if len(words) != 2 {
		p.addError(number, remedy, "the end line must give the number of rules")
		return
	}
	count, err := strconv.Atoi(words[1])
	if err != nil || strconv.Itoa(count) != words[1] {
		p.addError(number, remedy, "the end line gives no number of rules: %q", words[1])
		return
	}
	if count != p.rules {
		p.addError(number, remedy, "the end line counts %d rules, the file has %d", count, p.rules)
	}
}

func (p *parser) parseRule(number int, text string, words []string) {
	p.rules++
	if !hasRequester(text) {
		p.addError(number, "end the line with: # <who asked>: <why>", "the rule has no comment on who asked for it")
	}
	parseArgs, ok := ruleParsers[words[0]]
	if !ok {
		p.addError(number, "use one of "+ruleKinds()+"; docs/RULES.md has an example of each", "unknown kind of rule %q", words[0])
		return
	}
	parseArgs(p, number, words[1:])
}

// claimSubject records the line of a rule by its subject. If an earlier rule has
// the same subject, it adds an error and returns false.
func (p *parser) claimSubject(number int, subject string) bool {
	if first, ok := p.seen[subject]; ok {
		p.addError(number, fmt.Sprintf("keep this line or line %d, not both", first), "%s is already given in line %d", subject, first)
		return false
	}
	p.seen[subject] = number
	return true
}

// finish checks the file as a whole after its last line.
func (p *parser) finish(lines int) {
	switch {
	case !p.header:
		p.addError(0, "begin the file with: partner "+p.set.Partner, "the file has no partner line")
	case !p.ended:
		p.addError(lines, "publish the whole file; its last line is: end <number of rules>", "the file has no end line, it seems to be half written")
	case p.rules == 0:
		p.addError(0, "publish at least one rule", "the file has no rule")
	}
	p.checkLimits()
}

// checkLimits rejects a time limit below that of a class of shorter prompts.
func (p *parser) checkLimits() {
	order := []Class{ClassShort, ClassMedium, ClassLong}
	for i, c := range order[1:] {
		line, ok := p.seen[timeLimitSubject(c)]
		if ok && p.set.TimeLimitFor(c) < p.set.TimeLimitFor(order[i]) {
			p.addError(line, "give longer prompts at least the time of shorter ones", "the limit of class %s (%s) is below that of class %s (%s)",
				c, p.set.TimeLimitFor(c), order[i], p.set.TimeLimitFor(order[i]))
		}
	}
}

func withoutComment(line string) string {
	rule, _, _ := strings.Cut(line, "#")
	return rule
}

// hasRequester reports whether the comment of a line has the form "who: why".
func hasRequester(line string) bool {
	_, comment, _ := strings.Cut(line, "#")
	who, why, ok := strings.Cut(comment, ":")
	return ok && strings.TrimSpace(who) != "" && strings.TrimSpace(why) != ""
}

// isDisallowed reports whether a line must not contain r: a control character other
// than a tab, or a byte order mark.
func isDisallowed(r rune) bool {
	return r != '\t' && (unicode.IsControl(r) || r == '\uFEFF')
}
