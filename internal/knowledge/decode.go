package knowledge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/topology"
)

func ruleSummary(added, removed int) string {
	return fmt.Sprintf("%d rules added, %d removed", added, removed)
}

func invalidf(remedy, format string, args ...any) error {
	return &invalidError{reasons: []audit.Reason{{Message: fmt.Sprintf(format, args...), Remedy: remedy}}}
}

// decodeJSON decodes a body that holds exactly one JSON value. Unknown fields are allowed, so
// that the platform can add fields before all hosts support them.
func decodeJSON(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(into); err != nil {
		line := 1 + bytes.Count(body[:min(int(d.InputOffset()), len(body))], []byte{'\n'})
		return &invalidError{reasons: []audit.Reason{{Line: line, Message: "the value is no valid JSON: " + err.Error(), Remedy: "publish the whole value again"}}}
	}
	if strings.TrimSpace(string(body[d.InputOffset():])) != "" {
		return invalidf("publish one JSON value", "something follows the JSON value")
	}
	return nil
}

func decodeHosts(body []byte) (topology.HostList, error) {
	var list topology.HostList
	if err := decodeJSON(body, &list); err != nil {
		return list, err
	}
	if len(list.Hosts) == 0 {
		return list, invalidf("publish the hosts that exist", "the host list is empty")
	}
	seen := make(map[string]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		if err := validateEntry("host", h.ID, h.Domain, h.State, h.PeerAddr.IsValid(), seen); err != nil {
			return list, err
		}
	}
	return list, nil
}

func decodeTargets(body []byte) (topology.TargetList, error) {
	var list topology.TargetList
	if err := decodeJSON(body, &list); err != nil {
		return list, err
	}
	seen := make(map[string]bool, len(list.Targets))
	for _, t := range list.Targets {
		if err := validateEntry("target", t.ID, t.Domain, t.State, t.Addr.IsValid(), seen); err != nil {
			return list, err
		}
		if t.Kind != topology.KindEngine && t.Kind != topology.KindService {
			return list, invalidf("use engine or service", "target %q has the unknown kind %q", t.ID, t.Kind)
		}
	}
	return list, nil
}

// validateEntry checks the fields that hosts and targets have in common, and adds the id to
// seen. The kind is only used in messages.
func validateEntry(kind, id, domain string, state topology.MemberState, hasAddr bool, seen map[string]bool) error {
	switch {
	case id == "":
		return invalidf("give each "+kind+" an id", "a %s has no id", kind)
	case seen[id]:
		return invalidf("give each "+kind+" its own id", "%s %q is there twice", kind, id)
	case domain == "":
		return invalidf("name its failure domain", "%s %q has no failure domain", kind, id)
	case state != topology.StateLive && state != topology.StateLeaving:
		return invalidf("use live or leaving", "%s %q has the unknown state %q", kind, id, state)
	case !hasAddr:
		return invalidf("give an IP address and a port", "%s %q has no address", kind, id)
	}
	seen[id] = true
	return nil
}

func decodePlan(body []byte) (topology.Plan, error) {
	var plan topology.Plan
	if err := decodeJSON(body, &plan); err != nil {
		return plan, err
	}
	seen := make(map[string]bool, len(plan.Desired))
	for _, w := range plan.Desired {
		switch {
		case w.Target == "":
			return plan, invalidf("name the target", "a wanted state names no target")
		case seen[w.Target]:
			return plan, invalidf("give each target one wanted state", "target %q has two wanted states", w.Target)
		}
		seen[w.Target] = true
	}
	if plan.LoadsPerSecond < 0 {
		return plan, invalidf("give a rate of zero or more", "the rate of loads is negative")
	}
	return plan, nil
}
