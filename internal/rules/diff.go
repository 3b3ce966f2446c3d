package rules

import (
	"strings"
)

// LineChange is one rule that a new version of a file adds or removes.
type LineChange struct {
	Line        int // number of the line in the file that has the rule
	Removed     bool
	Rule        string // without its comment
	RequestedBy string // who requested it, from the rule's comment
	Rationale   string // why, from the rule's comment
}

// Diff returns the rules that differ between two versions of a file, first the
// removed and then the added ones. A rule whose comment differs counts as removed
// and added.
func Diff(oldFile, newFile []byte) []LineChange {
	oldLines, newLines := ruleLines(oldFile), ruleLines(newFile)
	var changes []LineChange
	for _, c := range linesNotIn(oldLines, newLines) {
		c.Removed = true
		changes = append(changes, c)
	}
	return append(changes, linesNotIn(newLines, oldLines)...)
}

// linesNotIn returns the lines of list that are not in other.
func linesNotIn(list, other []LineChange) []LineChange {
	type content struct{ rule, requestedBy, rationale string }
	known := make(map[content]bool, len(other))
	for _, c := range other {
		known[content{c.Rule, c.RequestedBy, c.Rationale}] = true
	}
	var missing []LineChange
	for _, c := range list {
		if !known[content{c.Rule, c.RequestedBy, c.Rationale}] {
			missing = append(missing, c)
		}
	}
	return missing
}

// ruleLines returns the rules of a file, without its partner and end lines.
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
			Line: number, Rule: strings.Join(words, " "), RequestedBy: strings.TrimSpace(who), Rationale: strings.TrimSpace(why),
		})
	}
	return lines
}
