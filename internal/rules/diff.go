package rules

import (
	"strings"
)

// LineChange is one rule that a new file adds or removes.
type LineChange struct {
	Line        int // in the file that has the rule
	Removed     bool
	Rule        string // without its comment
	RequestedBy string // who asked for it
	Rationale   string
}

// Diff returns the rules that file adds to before or removes from it, the
// removed ones first. A rule with another comment is a change, too.
func Diff(before, file []byte) []LineChange {
	old, current := ruleLines(before), ruleLines(file)
	var changes []LineChange
	for _, c := range missing(old, current) {
		c.Removed = true
		changes = append(changes, c)
	}
	return append(changes, missing(current, old)...)
}

// missing returns the lines of list that other lacks.
func missing(list, other []LineChange) []LineChange {
	type content struct{ rule, who, why string }
	known := make(map[content]bool, len(other))
	for _, c := range other {
		known[content{c.Rule, c.RequestedBy, c.Rationale}] = true
	}
	var lacking []LineChange
	for _, c := range list {
		if !known[content{c.Rule, c.RequestedBy, c.Rationale}] {
			lacking = append(lacking, c)
		}
	}
	return lacking
}

// ruleLines returns the rules of a file, without its header and end line.
func ruleLines(file []byte) []LineChange {
	var lines []LineChange
	number := 0
	for line := range strings.Lines(string(file)) {
		number++
		rule, comment, _ := strings.Cut(line, "#")
		words := strings.Fields(rule)
		if len(words) == 0 || words[0] == wordPartner || words[0] == wordEnd {
			continue
		}
		who, why, _ := strings.Cut(comment, ":")
		lines = append(lines, LineChange{
			Line: number, Rule: strings.Join(words, " "), RequestedBy: strings.TrimSpace(who), Rationale: strings.TrimSpace(why),
		})
	}
	return lines
}
