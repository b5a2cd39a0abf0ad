package node

import (
	"fmt"
	"strconv"
	"strings"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// This file reads the load reports of backends.

// readLoadReport reads a load report and complains, at a bounded rate, of one that can't be read.
func (x *upstreamTransport) readLoadReport(text string) balance.Load {
	l, err := parseLoadReport(text)
	if err != nil {
		x.loadReportLog.Warn("malformed load report", "error", err)
	}
	return l
}

// loadReportNames are the names of the values on sockets where they differ from those of the settings.
var loadReportNames = map[string]string{"inflight": "active", "queue": "waiting", "util": "cpu",
	"latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps"}

// parseLoadReport reads "TEXT name=value, name=value". Values of other names are skipped; one malformed value
// spoils the report.
func parseLoadReport(text string) (balance.Load, error) {
	var l balance.Load
	into := [...]*float64{&l.Active, &l.Waiting, &l.CPU, &l.AvgMs, &l.RPS, &l.ErrRPS}
	text = strings.TrimSpace(text)
	text = strings.TrimSpace(strings.TrimPrefix(text, "TEXT"))
	if text == "" {
		return l, nil // a backend that has just started has none yet
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return balance.Load{}, fmt.Errorf("%.40q is not name=value", pair)
		}
		if n, ok := loadReportNames[name]; ok {
			name = n
		}
		for i, n := range siteconfig.LoadNames {
			if n != name {
				continue
			}
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || !(v >= 0 && v < 1e9) {
				return balance.Load{}, fmt.Errorf("%s: %.40q is not a figure", name, value)
			}
			*into[i] = v
			l.Has |= 1 << i
		}
	}
	return l, nil
}
