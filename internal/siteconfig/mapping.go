package siteconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchvale/balance"
)

// The names of values in the settings object, in the order of their constants in package balance. A missing key means
// the first name.
var (
	priorityUnits = []string{"request", "work"}
	listModes     = []string{"push", "ask"}
	reportSources = []string{"off", "on_probe", "inline"}
	weightKinds   = []string{"off", "nominal", "rough", "live"}
	effects       = []string{"side_effect", "token", "pure"}
	keyScopes     = []string{"cell", "zone", "all"}
)

// defaultLatencyObjective is the objective of a class that has neither an objective nor a deadline.
const defaultLatencyObjective = time.Second

// nameMapper maps names to their indexes, and collects an error for each unknown name.
type nameMapper struct{ errs []error }

// index returns the index of the key's value in names, or 0 if the value is empty or unknown.
func (n *nameMapper) index(key, value string, names []string) int {
	if i := slices.Index(names, value); i >= 0 {
		return i
	}
	if value != "" {
		n.errs = append(n.errs, fmt.Errorf("%s: %q is not one of %s", key, value, strings.Join(names, ", ")))
	}
	return 0
}

// config maps the settings to the Balancer's configuration. The error names each unknown value.
func (m *settingsMessage) config() (balance.Config, error) {
	var names nameMapper
	priorityUnit := names.index("worthBy", m.WorthBy, priorityUnits)
	listMode := names.index("membershipMode", m.MembershipMode, listModes)
	reportSource := names.index("loadReport.source", m.LoadReport.Source, reportSources)
	weightKind := names.index("weightKind", m.WeightKind, weightKinds)
	config := balance.Config{
		Index:              m.Index,
		Instances:          m.NInstances,
		Zone:               m.Zone,
		OverQuotaValue:     m.OverShareWorth,
		WarmKeys:           m.Domain.WarmKeys,
		ClientsMarkRetries: m.Callers.MarksRetry,
		PriorityPerWork:    priorityUnits[priorityUnit] == "work",
		PollDiscovery:      listModes[listMode] == "ask",
		LoadReports:        balance.LoadReportSource(reportSource),
		Weights:            balance.WeightKind(weightKind),
		Tick:               time.Duration(m.Tick),
		PassesDeadline:     m.Domain.PassesDeadline,
		Stage:              m.Stage,
		LoadFields:         m.LoadReport.fields(),
		Limits:             m.Limits.limits(),
		Prices:             m.Prices.prices(),
		Rules:              m.Obligations.rules(),
		Goal:               m.Goal.goal(),
	}
	for _, class := range m.Classes {
		config.Classes = append(config.Classes, class.class(&names))
	}
	for _, tenant := range m.Tenants {
		config.Tenants = append(config.Tenants, balance.Tenant{QuotaPerSecond: tenant.QuotaPerS, Share: tenant.Share})
	}
	return config, errors.Join(names.errs...)
}

// class maps a class. Without a latency objective the deadline is the objective, so that every answer before the
// deadline has the same value.
func (c *classMessage) class(names *nameMapper) balance.Class {
	return balance.Class{
		LatencyObjective: time.Duration(cmp.Or(c.Aim, c.Deadline, int64(defaultLatencyObjective))),
		ObjectiveStretch: c.AimStretch,
		Deadline:         time.Duration(c.Deadline),
		Repeatability:    balance.Repeatability(names.index("effect", c.Effect, effects)),
		KeyScope:         balance.KeyScope(names.index("keyScope", c.KeyScope, keyScopes)),
		KeyWindow:        time.Duration(c.Window),
		LateValue:        c.LateWorth,
		PriorityWeight:   c.Points,
		Stream:           c.Stream,
	}
}

// fields returns the values that load reports carry. Unknown columns are skipped.
func (r *loadReportMessage) fields() balance.LoadField {
	var fields balance.LoadField
	for i, name := range LoadFieldNames {
		if slices.Contains(r.Columns, name) {
			fields |= 1 << i
		}
	}
	return fields
}

func (l *limitsMessage) limits() balance.Limits {
	return balance.Limits{
		Cancellation:   l.Cancelling,
		HealthChecks:   l.Probing,
		Gossip:         l.Peers,
		HedgedRequests: l.SecondCopies,
		RetryAfter:     l.RetryAfter,
		MaxAttempts:    l.MaxAttempts,
		MaxRetryAfter:  time.Duration(l.MaxRetryAfter),
		ConnectTimeout: time.Duration(l.ConnectTimeout),
		IdleClose:      time.Duration(l.IdleClose),
		StreamsPerConn: l.StreamsPerConn,
		MaxOpen:        l.MaxOpen,
		CPUPerSecond:   time.Duration(l.CPUUsPerS * float64(time.Microsecond)),
		CPUPerRequest:  time.Duration(l.CPUUsPerRequest * float64(time.Microsecond)),
	}
}

// prices maps the prices that balance.Prices has. The other prices matter only to the site.
func (p *pricesMessage) prices() balance.Prices {
	return balance.Prices{
		CrossZone:   p.CrossZone,
		Waste:       p.Waste,
		LateFail:    p.LateFail,
		HealthCheck: p.Probe,
		Peer:        p.Peer,
		Handshake:   p.Handshake,
		Connection:  p.Connection,
		Discovery:   p.Membership,
	}
}

func (o *obligationsMessage) rules() balance.Rules {
	return balance.Rules{
		AnswerGrace:       time.Duration(o.GraceToAnswer),
		DrainGrace:        time.Duration(o.DrainGrace),
		PollInterval:      time.Duration(o.AskEvery),
		SlowStartFraction: o.ColdShare,
		SlowStartDuration: time.Duration(o.WarmWithin),
		OverloadMultiple:  o.FallMultiple,
		OverloadWindow:    time.Duration(o.OverloadFor),
	}
}

func (g *goalMessage) goal() balance.Goal {
	return balance.Goal{
		EntireDay:   g.Whole,
		WorstClass:  g.WorstClass,
		WorstTenant: g.WorstTenant,
		WorstWindow: g.WorstWindow,
	}
}
