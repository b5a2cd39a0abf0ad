package siteconfig

import (
	"cmp"
	"errors"
	"fmt"
)

const (
	// maxInstances is more instances than any fleet has.
	maxInstances = 1_000_000
	// maxLoadReportColumns is the largest number of columns that the protocol allows.
	maxLoadReportColumns = 4
)

// check returns an error for values that are not allowed, whether or not the Balancer uses them.
func (m *settingsMessage) check() error {
	for _, check := range []func() error{m.checkIndexes, m.Limits.check, m.Prices.check, m.checkSizes} {
		if err := check(); err != nil {
			return err
		}
	}
	return errors.Join(m.Obligations.check(), cmp.Or(m.checkClasses(), m.checkTenants()))
}

// checkNotNegative returns an error for a negative value of a key.
func checkNotNegative[T int | int64 | float64](key string, value T) error {
	if value < 0 {
		return fmt.Errorf("%s: %v is negative; it must be 0 or more", key, value)
	}
	return nil
}

// checkIndexes checks the number of instances and the indexes of this node among instances, zones and tiers.
func (m *settingsMessage) checkIndexes() error {
	switch {
	case m.NInstances < 0:
		return checkNotNegative("nInstances", m.NInstances)
	case m.Index < 0 || m.Index >= max(m.NInstances, 1):
		return fmt.Errorf("index: %d is out of range; it must be from 0 to %d", m.Index, max(m.NInstances, 1)-1)
	case m.Zone < 0 || len(m.Zones) > 0 && m.Zone >= len(m.Zones):
		return indexError("zone", m.Zone, "zones", len(m.Zones))
	case m.Stage < 0 || len(m.Tiers) > 0 && m.Stage >= len(m.Tiers):
		return indexError("stage", m.Stage, "tiers", len(m.Tiers))
	}
	return nil
}

// indexError returns the error for an index that is not in its list of names. Without a list, the index is negative.
func indexError(key string, index int, listKey string, length int) error {
	if length == 0 {
		return checkNotNegative(key, index)
	}
	return fmt.Errorf("%s: %d is out of range; it must be from 0 to %d, because %s has %d names",
		key, index, length-1, listKey, length)
}

func (l *limitsMessage) check() error {
	return cmp.Or(
		checkNotNegative("limits.maxAttempts", l.MaxAttempts),
		checkNotNegative("limits.maxOpen", l.MaxOpen),
		checkNotNegative("limits.streamsPerConn", l.StreamsPerConn),
		checkNotNegative("limits.cpuUsPerS", l.CPUUsPerS),
		checkNotNegative("limits.cpuUsPerRequest", l.CPUUsPerRequest),
		checkNotNegative("limits.maxRetryAfter", l.MaxRetryAfter),
		checkNotNegative("limits.connectTimeout", l.ConnectTimeout),
		checkNotNegative("limits.idleClose", l.IdleClose),
	)
}

func (p *pricesMessage) check() error {
	return cmp.Or(
		checkNotNegative("prices.crossZone", p.CrossZone),
		checkNotNegative("prices.waste", p.Waste),
		checkNotNegative("prices.lateFail", p.LateFail),
		checkNotNegative("prices.probe", p.Probe),
		checkNotNegative("prices.peer", p.Peer),
		checkNotNegative("prices.handshake", p.Handshake),
		checkNotNegative("prices.connection", p.Connection),
		checkNotNegative("prices.membershipMode", p.Membership),
		checkNotNegative("prices.moves", p.Moves),
		checkNotNegative("prices.origin", p.Origin),
		checkNotNegative("prices.fleet", p.Fleet),
	)
}

// checkSizes checks the remaining values that have bounds.
func (m *settingsMessage) checkSizes() error {
	switch {
	case len(m.LoadReport.Columns) > maxLoadReportColumns:
		return fmt.Errorf("loadReport.columns: %d columns; at most %d are allowed",
			len(m.LoadReport.Columns), maxLoadReportColumns)
	case m.NInstances > maxInstances:
		return fmt.Errorf("nInstances: %d is too large; at most %d is allowed", m.NInstances, maxInstances)
	}
	return checkNotNegative("tick", m.Tick)
}

func (o *obligationsMessage) check() error {
	err := cmp.Or(
		checkNotNegative("obligations.graceToAnswer", o.GraceToAnswer),
		checkNotNegative("obligations.drainGrace", o.DrainGrace),
		checkNotNegative("obligations.askEvery", o.AskEvery),
		checkNotNegative("obligations.warmWithin", o.WarmWithin),
		checkNotNegative("obligations.overloadFor", o.OverloadFor),
	)
	switch {
	case err != nil:
		return err
	case o.ColdShare < 0 || o.ColdShare > 1:
		return fmt.Errorf("obligations.coldShare: %v is out of range; it must be from 0 to 1", o.ColdShare)
	}
	return checkNotNegative("obligations.fallMultiple", o.FallMultiple)
}

func (m *settingsMessage) checkClasses() error {
	for i, class := range m.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		if err := cmp.Or(
			checkNotNegative(key+".aim", class.Aim),
			checkNotNegative(key+".deadline", class.Deadline),
			checkNotNegative(key+".window", class.Window),
		); err != nil {
			return err
		}
	}
	return nil
}

func (m *settingsMessage) checkTenants() error {
	for i, tenant := range m.Tenants {
		key := fmt.Sprintf("tenants[%d]", i)
		if err := cmp.Or(
			checkNotNegative(key+".quotaPerS", tenant.QuotaPerS),
			checkNotNegative(key+".share", tenant.Share),
		); err != nil {
			return err
		}
	}
	return nil
}
