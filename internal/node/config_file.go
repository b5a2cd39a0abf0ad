package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"hitchvale/internal/discovery"
	"hitchvale/internal/siteconfig"
)

// configFile is the JSON form of a node's configuration file.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Registry   []string        `json:"registry"`
	Admin      string          `json:"admin"`
	Seed       string          `json:"seed"` // a 64-bit hexadecimal number; "" is 0
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`    // an endpoint list in the format of the discovery service
	Settings   json.RawMessage `json:"settings"` // the format is that of package siteconfig
	Fleet      *FleetConfig    `json:"fleet"`
}

// LoadConfig reads the configuration from a file. The error names the file, and the key with an invalid value.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("configuration: the path of the file is empty")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig decodes and checks a configuration. Unknown keys are ignored. The error names the key with an invalid
// value.
func ParseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	cfg := Config{
		Name:       file.Name,
		Listen:     file.Listen,
		Discovery:  file.Discovery,
		Registry:   file.Registry,
		Admin:      file.Admin,
		StateDir:   os.TempDir(),
		Limits:     file.Limits,
		PeerListen: file.PeerListen,
		Peers:      file.Peers,
		PeersAll:   file.PeersAll,
		Fleet:      file.Fleet,
	}
	var err error
	if cfg.Seed, err = parseSeed(file.Seed); err != nil {
		return Config{}, err
	}
	if cfg.Settings, err = parseSettings(file.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if !isAbsent(file.Known) {
		if cfg.Known, err = discovery.ParseList(file.Known, cfg.Settings); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, cfg.check()
}

// parseSeed decodes the seed; "" is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", text)
	}
	return seed, nil
}

// parseSettings decodes the settings of the site, which have to contain at least one class.
func parseSettings(text json.RawMessage) (siteconfig.Settings, error) {
	if isAbsent(text) {
		return siteconfig.Settings{}, errors.New("the key is missing, it must contain the settings of the site")
	}
	settings, err := siteconfig.Parse(text)
	if err != nil {
		return siteconfig.Settings{}, err
	}
	if len(settings.Classes) == 0 {
		return siteconfig.Settings{}, errors.New("classes is empty, it must contain at least one class")
	}
	return settings, settings.CheckNames()
}

// isAbsent reports whether a key is missing or null.
func isAbsent(value json.RawMessage) bool {
	return len(value) == 0 || bytes.Equal(value, []byte("null"))
}
