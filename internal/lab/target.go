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

// processName returns the name of a role's process.
func processName(role string, index int) string { return fmt.Sprintf("%s-%d", role, index) }

// discoveryTarget is the target of an outage, the stand-in discovery.
const discoveryTarget = "discovery"

// checkTarget checks that a fault of that kind applies to the target and that the scenario has the target.
func (scenario Scenario) checkTarget(kind, target string) error {
	if isLinkFault(kind) {
		_, _, err := scenario.parseLink(target)
		return err
	}
	if kind == faultOutage {
		if target != discoveryTarget || scenario.Registries > 0 {
			return fmt.Errorf("%q: the target of an outage must be %q, in a scenario without registries", target,
				discoveryTarget)
		}
		return nil
	}
	role, index, err := parseProcess(target)
	if err != nil {
		return err
	}
	if n := scenario.count(role); index >= n {
		return fmt.Errorf("%q: the scenario has %d %s processes, numbered from 0", target, n, role)
	}
	switch kind {
	case faultReload, faultHold, faultUpgrade:
		if role != roleNode {
			return fmt.Errorf("%q: %s does not apply to a %s, only to a node", target, kind, role)
		}
	case faultRejoin:
		if role != roleBackend || scenario.Registries > 0 {
			return fmt.Errorf("%q: %s does not apply to a %s here, only to a backend in a scenario without registries",
				target, kind, role)
		}
	case faultDrain:
		if role != roleBackend {
			return fmt.Errorf("%q: %s does not apply to a %s, only to a backend", target, kind, role)
		}
	case faultFill:
		if role == roleBackend {
			return fmt.Errorf("%q: %s does not apply to a %s, only to a node or a registry replica", target, kind, role)
		}
	}
	return nil
}

// count returns how many processes of a role the scenario has.
func (scenario Scenario) count(role string) int {
	switch role {
	case roleNode:
		return scenario.Nodes
	case roleRegistry:
		return scenario.Registries
	}
	return scenario.Backends
}

// parseProcess parses a target of the form node-N, backend-N or registry-N.
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

// parseLink parses a target of the form client-node-N, node-N:backend-M, node-N:registry-M or registry-N:registry-M,
// and checks that the scenario has the link. Except in client-node-N, N and M may be *, which stands for every number.
func (scenario Scenario) parseLink(target string) (from, to string, err error) {
	if node, ok := strings.CutPrefix(target, "client-"); ok {
		role, index, err := parseProcess(node)
		if err != nil || role != roleNode || index >= scenario.Nodes {
			return "", "", fmt.Errorf("%q is not a link to a node of the scenario (client-node-N, N below %d)", target,
				scenario.Nodes)
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
		return "", "", fmt.Errorf("%q: a registry replica has links only to other registry replicas", target)
	}
	if !scenario.hasLinkEnd(from, fromRole) || !scenario.hasLinkEnd(to, toRole) {
		return "", "", fmt.Errorf("%q is not a link of the scenario: it has %d nodes, %d backends and %d registries",
			target, scenario.Nodes, scenario.Backends, scenario.Registries)
	}
	return from, to, nil
}

// hasLinkEnd reports whether one end of a link is ROLE-*, or a process of that role that the scenario has.
func (scenario Scenario) hasLinkEnd(name, role string) bool {
	if name == role+"-*" {
		return true
	}
	parsedRole, index, err := parseProcess(name)
	return err == nil && parsedRole == role && index < scenario.count(role)
}
