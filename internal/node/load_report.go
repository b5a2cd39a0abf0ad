package node

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

const (
	// loadReportHeader carries a load report on a response.
	loadReportHeader = "Endpoint-Load-Metrics"
	// maxLoadValue bounds the values of a load report; a larger one is a backend's mistake.
	maxLoadValue = 1e9
)

// loadReportNames maps the names in load reports to those in the settings, where they differ.
var loadReportNames = map[string]string{
	"inflight":   "active",
	"queue":      "waiting",
	"util":       "cpu",
	"latency_ms": "avg_ms",
	"qps":        "rps",
	"eps":        "err_rps",
}

// readLoadReport returns a backend's load report, or an empty one if it is malformed, which is logged at a bounded
// rate.
func (t *upstreamTransport) readLoadReport(text string) balance.Load {
	load, err := parseLoadReport(text)
	if err != nil {
		t.loadReportLog.Warn("malformed load report", "error", err)
	}
	return load
}

// parseLoadReport parses "TEXT name=value, name=value". Values of unknown names are skipped. One malformed value
// makes the entire report malformed; an empty report, as of a backend that has just started, is not.
func parseLoadReport(text string) (balance.Load, error) {
	var load balance.Load
	text = strings.TrimSpace(text)
	text = strings.TrimSpace(strings.TrimPrefix(text, "TEXT"))
	if text == "" {
		return load, nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		if err := parseLoadValue(&load, strings.TrimSpace(pair)); err != nil {
			return balance.Load{}, err
		}
	}
	return load, nil
}

// parseLoadValue parses "name=value" into a load report.
func parseLoadValue(load *balance.Load, pair string) error {
	name, value, ok := strings.Cut(pair, "=")
	if !ok {
		return fmt.Errorf("%.40q is not name=value", pair)
	}
	if settingsName, ok := loadReportNames[name]; ok {
		name = settingsName
	}
	// In the order of siteconfig.LoadFieldNames, which is that of the bits of Has.
	fields := [...]*float64{&load.Active, &load.Waiting, &load.CPU, &load.AvgMs, &load.RPS, &load.ErrRPS}
	index := slices.Index(siteconfig.LoadFieldNames, name)
	if index < 0 {
		return nil
	}
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed < maxLoadValue) {
		return fmt.Errorf("%s: %.40q is not a number from 0 to %g", name, value, maxLoadValue)
	}
	*fields[index] = parsed
	load.Has |= 1 << index
	return nil
}
