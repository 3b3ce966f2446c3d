package rules

import (
	"strings"
)

// LineChange is a rule that a new version of a file adds or removes.
type LineChange struct {
	Line    int // line number in the version that has the rule
	Removed bool
	Rule    string // without its comment
	Who     string // who requested the rule
	Why     string
}

// Diff returns the rules that differ between before and file, the removed ones
// first. A rule whose comment was changed counts as removed and added.
func Diff(before, file []byte) []LineChange {
	old, current := ruleLines(before), ruleLines(file)
	var changes []LineChange
	for _, c := range linesNotIn(old, current) {
		c.Removed = true
		changes = append(changes, c)
	}
	return append(changes, linesNotIn(current, old)...)
}

// linesNotIn returns the lines of list that are not in other.
func linesNotIn(list, other []LineChange) []LineChange {
	type content struct{ rule, who, why string }
	known := make(map[content]bool, len(other))
	for _, c := range other {
		known[content{c.Rule, c.Who, c.Why}] = true
	}
	var result []LineChange
	for _, c := range list {
		if !known[content{c.Rule, c.Who, c.Why}] {
			result = append(result, c)
		}
	}
	return result
}

// ruleLines returns the rules of a file, without its header and end line.
func ruleLines(file []byte) []LineChange {
	var lines []LineChange
	number := 0
	for line := range strings.Lines(string(file)) {
		number++
		rule, comment, _ := strings.Cut(line, "#")
		words := strings.Fields(rule)
		if len(words) == 0 || words[0] == keywordPartner || words[0] == keywordEnd {
			continue
		}
		who, why, _ := strings.Cut(comment, ":")
		lines = append(lines, LineChange{
			Line: number, Rule: strings.Join(words, " "), Who: strings.TrimSpace(who), Why: strings.TrimSpace(why),
		})
	}
	return lines
}
