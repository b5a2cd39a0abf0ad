package lab

import (
	"fmt"
	"strings"
)

// The roles of the lab's child processes. A process is named by its role and number, such as node-2.
const (
	roleNode      = "node"
	roleBackend   = "backend"
	roleRegistry  = "registry"
	roleCandidate = "candidate"
	roleReplaced  = "replaced" // a node's earlier processes, after an upgrade
)

// processName is the name of a role's process.
func processName(role string, index int) string { return fmt.Sprintf("%s-%d", role, index) }

// discoveryTarget is the target of an outage of the stand-in discovery.
const discoveryTarget = "discovery"

// checkTarget checks that a fault of a kind applies to a target and that the scenario has it.
func (scenario Scenario) checkTarget(kind, target string) error {
	if isLinkFault(kind) {
		_, _, err := scenario.parseLink(target)
		return err
	}
	if kind == faultOutage {
		if target != discoveryTarget || scenario.Registries > 0 {
			return fmt.Errorf("%q: an outage is one of the stand-in discovery", target)
		}
		return nil
	}
	role, index, err := parseProcess(target)
	if err != nil {
		return err
	}
	if n := scenario.count(role); index >= n {
		return fmt.Errorf("%q: there are %d of %s", target, n, role)
	}
	switch kind {
	case faultReload, faultHold, faultUpgrade:
		if role != roleNode {
			return fmt.Errorf("%q: %s does not apply to a %s here", target, kind, role)
		}
	case faultRejoin:
		if role != roleBackend || scenario.Registries > 0 {
			return fmt.Errorf("%q: %s does not apply to a %s here", target, kind, role)
		}
	case faultDrain:
		if role != roleBackend {
			return fmt.Errorf("%q: %s does not apply to a %s", target, kind, role)
		}
	case faultFill:
		if role == roleBackend {
			return fmt.Errorf("%q: %s does not apply to a %s", target, kind, role)
		}
	}
	return nil
}

// count is how many processes of a role the scenario has.
func (scenario Scenario) count(role string) int {
	switch role {
	case roleNode:
		return scenario.Nodes
	case roleRegistry:
		return scenario.Registries
	}
	return scenario.Backends
}

// parseProcess reads node-N, backend-N or registry-N.
func parseProcess(target string) (role string, index int, err error) {
	for _, role := range []string{roleNode, roleBackend, roleRegistry} {
		number, ok := strings.CutPrefix(target, role+"-")
		if !ok {
			continue
		}
		if _, err := fmt.Sscanf(number, "%d", &index); err == nil && fmt.Sprint(index) == number {
			return role, index, nil
		}
	}
	return "", 0, fmt.Errorf("%q is not node-N, backend-N or registry-N", target)
}

// parseLink reads client-node-N, node-N:backend-M, node-N:registry-M or registry-N:registry-M, with * for N or M.
func (scenario Scenario) parseLink(target string) (from, to string, err error) {
	if node, ok := strings.CutPrefix(target, "client-"); ok {
		role, index, err := parseProcess(node)
		if err != nil || role != roleNode || index >= scenario.Nodes {
			return "", "", fmt.Errorf("%q is not a link to a node of the scenario", target)
		}
		return "client", node, nil
	}
	from, to, ok := strings.Cut(target, ":")
	if !ok {
		return "", "", fmt.Errorf("%q is not a link (client-node-N, node-N:backend-M, node-N:registry-M "+
			"or registry-N:registry-M)", target)
	}
	fromRole := roleNode
	if strings.HasPrefix(from, roleRegistry+"-") {
		fromRole = roleRegistry
	}
	toRole := roleBackend
	if strings.HasPrefix(to, roleRegistry+"-") {
		toRole = roleRegistry
	}
	if fromRole == roleRegistry && toRole != roleRegistry {
		return "", "", fmt.Errorf("%q: a replica has links to replicas alone", target)
	}
	if !scenario.hasLinkEnd(from, fromRole) || !scenario.hasLinkEnd(to, toRole) {
		return "", "", fmt.Errorf("%q is not a link of the scenario", target)
	}
	return from, to, nil
}

// hasLinkEnd tells whether one end of a link is ROLE-* or a process of that role that the scenario has.
func (scenario Scenario) hasLinkEnd(name, role string) bool {
	if name == role+"-*" {
		return true
	}
	parsedRole, index, err := parseProcess(name)
	return err == nil && parsedRole == role && index < scenario.count(role)
}
