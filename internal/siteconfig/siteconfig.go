// Package siteconfig decodes the settings object that a node gets at its start, on the simulator's wire as in a real
// node's configuration, and maps it to the terms of package balance. message.go has the keys of the wire, mapping.go
// what each becomes, checks.go the values that are refused.
package siteconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"hitchvale/balance"
)

// LoadFieldNames are the wire's names of the values of a load report, in the order of the bits of balance.LoadField.
var LoadFieldNames = []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps"}

// Settings is the decoded object: the Balancer's configuration, and the names that its indexes stand for.
type Settings struct {
	Config       balance.Config
	Classes      []string // names, by the index in Config.Classes
	Tenants      []string // names, by the index in Config.Tenants
	Zones        []string // names, by the index that endpoints have
	MachineKinds []string // names, by the index that endpoints have
}

// Parse decodes a settings object. Unknown keys are skipped; a key that is missing has the zero value. The error names
// each key whose value is refused.
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

// CheckNames returns an error unless each class and each tenant has a name of its own: real requests name them.
func (s *Settings) CheckNames() error {
	if err := checkUnique("classes", s.Classes); err != nil {
		return err
	}
	return checkUnique("tenants", s.Tenants)
}

func checkUnique(key string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Index(names, name) < i {
			return fmt.Errorf("%s[%d].name: %q is missing or given before", key, i, name)
		}
	}
	return nil
}
