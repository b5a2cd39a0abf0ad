package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validConfig is a configuration with every kind of key that TestInvalidConfig makes invalid.
const validConfig = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.5:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.6:7946"],
 "peers_all":"127.0.0.7:7946","known":{"revision":41,"complete":true,"members":[]},"settings":` + testSettings + `}`

func TestParseConfigReadsAValidConfig(t *testing.T) {
	cfg, err := ParseConfig([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 0x8c1f30d27a5be964 || cfg.Limits.Sockets != 4096 || cfg.Known.Revision != 41 ||
		len(cfg.Settings.Classes) != 3 {
		t.Errorf("got configuration %+v", cfg)
	}
}

// An invalid configuration gives an error of one line that names the key.
func TestInvalidConfig(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"empty file":            {validConfig, "", "JSON"},
		"not an object":         {validConfig, "[]", "array"},
		"no listen":             {`"127.0.0.4:8443"`, `""`, "listen"},
		"bad listen":            {`"127.0.0.4:8443"`, `"here"`, "listen"},
		"bad discovery":         {`"127.0.0.5:8500"`, `"nowhere:x"`, "discovery"},
		"bad seed":              {"8c1f30d27a5be964", "xyz", "seed"},
		"bad peer":              {"127.0.0.6:7946", "peer", "peers"},
		"bad peers_all":         {"127.0.0.7:7946", "all", "peers_all"},
		"no settings":           {testSettings, "null", "settings"},
		"no classes":            {testSettings, "{}", "settings"},
		"bad effect":            {`"side_effect"`, `"sometimes"`, "effect"},
		"same class twice":      {`"name":"order"`, `"name":"read"`, "classes[1].name"},
		"class without a name":  {`"name":"order"`, `"title":"order"`, "classes[1].name"},
		"tenant without a name": {`"name":"acme"`, `"name":""`, "tenants[0].name"},
		"too many nodes":        {`"nInstances":1`, `"nInstances":99999999999`, "nInstances"},
		"bad cold share":        {`"coldShare":0.12`, `"coldShare":12`, "coldShare"},
		"negative drain grace":  {`"drainGrace":500000000`, `"drainGrace":-1`, "drainGrace"},
		"bad known":             {`"members":[]`, `"members":[{}]`, "known"},
		"negative limit":        {`"memory_mb":2048`, `"memory_mb":-1`, "limits"},
		"few sockets":           {`"sockets":4096`, `"sockets":8`, "sockets"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validConfig, tc.old, tc.new, 1)
			if text == validConfig {
				t.Fatal("the test does not change the valid configuration")
			}
			_, err := ParseConfig([]byte(text))
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, tc.want)
			}
		})
	}
	if _, err := LoadConfig(""); err == nil {
		t.Error("an empty path gave no error")
	}
	if _, err := LoadConfig(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(unwrap(err)) {
		t.Errorf("got error %v for a missing file, want one that wraps fs.ErrNotExist", err)
	}
}

// unwrap returns the innermost error of a chain.
func unwrap(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}
		err = u.Unwrap()
	}
}
