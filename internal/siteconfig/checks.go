package siteconfig

import (
	"cmp"
	"errors"
	"fmt"
)

const (
	// maxInstances is more than any fleet has.
	maxInstances = 1_000_000
	// maxLoadReportColumns is as many as the wire allows.
	maxLoadReportColumns = 4
)

// check returns an error for values that no setting can have, whether or not the Balancer uses them.
func (m *settingsMessage) check() error {
	for _, check := range []func() error{m.checkPlace, m.Limits.check, m.Prices.check, m.checkSizes} {
		if err := check(); err != nil {
			return err
		}
	}
	return errors.Join(m.Obligations.check(), cmp.Or(m.checkClasses(), m.checkTenants()))
}

// checkPlace checks the node's place among the others.
func (m *settingsMessage) checkPlace() error {
	switch {
	case m.NInstances < 0:
		return errors.New("nInstances: negative")
	case m.Index < 0 || m.Index >= max(m.NInstances, 1):
		return errors.New("index: not below nInstances")
	case m.Zone < 0 || len(m.Zones) > 0 && m.Zone >= len(m.Zones):
		return errors.New("zone: not one of zones")
	case m.Stage < 0 || len(m.Tiers) > 0 && m.Stage >= len(m.Tiers):
		return errors.New("stage: not one of tiers")
	}
	return nil
}

func (l *limitsMessage) check() error {
	switch {
	case min(l.MaxAttempts, l.MaxOpen, l.StreamsPerConn) < 0:
		return errors.New("limits: a negative count")
	case min(l.CPUUsPerS, l.CPUUsPerRequest) < 0:
		return errors.New("limits: a negative CPU limit")
	case min(l.MaxRetryAfter, l.ConnectTimeout, l.IdleClose) < 0:
		return errors.New("limits: a negative time")
	}
	return nil
}

func (p *pricesMessage) check() error {
	lowest := min(p.CrossZone, p.Waste, p.LateFail, p.Probe, p.Peer, p.Handshake, p.Connection, p.Membership,
		p.Moves, p.Origin, p.Fleet)
	if lowest < 0 {
		return errors.New("prices: a negative price")
	}
	return nil
}

// checkSizes checks what else must be within bounds.
func (m *settingsMessage) checkSizes() error {
	switch {
	case len(m.LoadReport.Columns) > maxLoadReportColumns:
		return errors.New("loadReport.columns: more than four")
	case m.NInstances > maxInstances:
		return fmt.Errorf("nInstances: more than %d", maxInstances)
	case m.Tick < 0:
		return errors.New("tick: negative")
	}
	return nil
}

func (o *obligationsMessage) check() error {
	for _, duration := range []struct {
		key   string
		nanos int64
	}{
		{key: "graceToAnswer", nanos: o.GraceToAnswer},
		{key: "drainGrace", nanos: o.DrainGrace},
		{key: "askEvery", nanos: o.AskEvery},
		{key: "warmWithin", nanos: o.WarmWithin},
		{key: "overloadFor", nanos: o.OverloadFor},
	} {
		if duration.nanos < 0 {
			return fmt.Errorf("obligations.%s: negative", duration.key)
		}
	}
	switch {
	case o.ColdShare < 0 || o.ColdShare > 1:
		return errors.New("obligations.coldShare: not a part of 1")
	case o.FallMultiple < 0:
		return errors.New("obligations.fallMultiple: negative")
	}
	return nil
}

func (m *settingsMessage) checkClasses() error {
	for i, class := range m.Classes {
		if min(class.Aim, class.Deadline, class.Window) < 0 {
			return fmt.Errorf("classes[%d]: a negative aim, deadline or window", i)
		}
	}
	return nil
}

func (m *settingsMessage) checkTenants() error {
	for i, tenant := range m.Tenants {
		if min(tenant.QuotaPerS, tenant.Share) < 0 {
			return fmt.Errorf("tenants[%d]: a negative quotaPerS or share", i)
		}
	}
	return nil
}
