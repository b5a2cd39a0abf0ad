// Package siteconfig decodes the settings object that a node gets at its start, from the simulator's protocol or from
// the configuration of a real node, and maps it to the types of package balance. message.go has the JSON keys,
// mapping.go the mapping of each key, and checks.go the checks of the values.
package siteconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hitchvale/balance"
)

// LoadFieldNames are the names of the values of a load report, in the order of the bits of balance.LoadField.
var LoadFieldNames = []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps"}

// Settings is the decoded object: the Balancer's configuration, and the names behind its indexes.
type Settings struct {
	Config       balance.Config
	Classes      []string // names, by the index in Config.Classes
	Tenants      []string // names, by the index in Config.Tenants
	Zones        []string // names, by balance.Endpoint.Zone
	MachineKinds []string // names, by balance.Endpoint.MachineKind
}

// Parse decodes and checks a settings object. Unknown keys are skipped, and a missing key has the zero value. The error
// names the keys whose values are not allowed.
func Parse(text []byte) (Settings, error) {
	var message settingsMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return Settings{}, err
	}
	config, mappingErr := message.config()
	settings := Settings{Config: config, Zones: message.Zones, MachineKinds: message.SKUs}
	for _, class := range message.Classes {
		settings.Classes = append(settings.Classes, class.Name)
	}
	for _, tenant := range message.Tenants {
		settings.Tenants = append(settings.Tenants, tenant.Name)
	}
	return settings, errors.Join(message.check(), mappingErr)
}

// CheckNames returns an error unless each class and each tenant has a unique name. Real requests refer to them by name.
func (s *Settings) CheckNames() error {
	if err := checkUnique("classes", s.Classes); err != nil {
		return err
	}
	return checkUnique("tenants", s.Tenants)
}

func checkUnique(key string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Index(names, name) < i {
			return fmt.Errorf("%s[%d].name: %q is empty or used twice; each name must be unique", key, i, name)
		}
	}
	return nil
}
