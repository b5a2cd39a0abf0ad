package balance

import "time"

const (
	// zoneMeanSeconds is the time over which the mean load of a zone is learned.
	zoneMeanSeconds = 4.0
	// zoneMeanMaxWeight is the largest weight that a report gets in this mean for the time since the last report. A
	// single report may be high or low by chance.
	zoneMeanMaxWeight = 0.1
)

// loadAverage is the running mean of the load of other nodes on some endpoints, from their load reports.
type loadAverage struct {
	mean      float64 // requests at an endpoint
	reports   float64 // number of reports in the mean
	updatedAt time.Duration
}

func (a *loadAverage) add(now time.Duration, load float64) {
	a.reports++
	byTime := min(zoneMeanMaxWeight, (now-a.updatedAt).Seconds()/zoneMeanSeconds)
	a.mean += max(sampleWeight, 1/a.reports, byTime) * (load - a.mean)
	a.updatedAt = now
}

// loadAverages holds the mean loads of all endpoints and of each zone, because one zone may have more traffic than it
// can handle.
type loadAverages struct {
	overall loadAverage
	zones   map[int]loadAverage
}

func (l *loadAverages) add(now time.Duration, zone int, load float64) {
	l.overall.add(now, load)
	average := l.zones[zone]
	average.add(now, load)
	l.zones[zone] = average
}

// restore sets the mean of a zone, and of all endpoints, to a value that another process has learned.
func (l *loadAverages) restore(now time.Duration, zone int, mean float64) {
	l.overall = loadAverage{mean: mean, reports: 1 / sampleWeight, updatedAt: now}
	l.zones[zone] = l.overall
}

// zoneMean is the mean load of a zone's endpoints, or of all endpoints if no endpoint of the zone has reported.
func (l *loadAverages) zoneMean(zone int) float64 {
	if average := l.zones[zone]; average.reports > 0 {
		return average.mean
	}
	return l.overall.mean
}
