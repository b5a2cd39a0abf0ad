package siteconfig

import (
	"slices"
	"strings"
	"testing"
	"time"

	"hitchvale/balance"
)

// Parse maps the keys to the Balancer's configuration, keeps the names and skips unknown keys.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"nInstances":3,"index":2,"zone":1,"zones":["a","b"],"skus":["m1","m2"],
		"classes":[{"name":"read","aim":750000000,"effect":"pure"},{"name":"order"}],
		"tenants":[{"name":"acme","quotaPerS":5}],"membershipMode":"ask",
		"loadReport":{"source":"on_probe","columns":["active","cpu"]},"later":{"unknown":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Index != 2 || c.Instances != 3 || c.Zone != 1 || !c.PollDiscovery ||
		c.LoadReports != balance.HealthCheckLoadReports ||
		c.LoadFields != balance.HasActive|balance.HasCPU || c.Classes[0].LatencyObjective != 750*time.Millisecond ||
		c.Classes[0].Repeatability != balance.Idempotent || c.Classes[1].Repeatability != balance.NonIdempotent {
		t.Errorf("configuration: %+v", c)
	}
	if !slices.Equal(s.Classes, []string{"read", "order"}) || !slices.Equal(s.Tenants, []string{"acme"}) ||
		!slices.Equal(s.Zones, []string{"a", "b"}) || !slices.Equal(s.MachineKinds, []string{"m1", "m2"}) {
		t.Errorf("names: %+v", s)
	}
}

// An error of Parse names the key whose value is not allowed.
func TestParseErrorsNameTheKey(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                "JSON",
		`{"index":1}`:                      "index",
		`{"zone":2,"zones":["a"]}`:         "zone",
		`{"membershipMode":"guess"}`:       "membershipMode",
		`{"classes":[{"effect":"maybe"}]}`: "effect",

		`{"nInstances":-1}`:                                "nInstances",
		`{"nInstances":4000000000}`:                        "nInstances",
		`{"tick":-1}`:                                      "tick",
		`{"classes":[{"name":"a","deadline":-1}]}`:         "classes[0].deadline",
		`{"tenants":[{"name":"t","quotaPerS":-2}]}`:        "tenants[0].quotaPerS",
		`{"obligations":{"coldShare":1.5}}`:                "coldShare",
		`{"obligations":{"drainGrace":-5}}`:                "drainGrace",
		`{"obligations":{"fallMultiple":-1}}`:              "fallMultiple",
		`{"limits":{"connectTimeout":-1}}`:                 "limits.connectTimeout",
		`{"loadReport":{"columns":["a","b","c","d","e"]}}`: "columns",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", text, err, want)
		}
	}
}
