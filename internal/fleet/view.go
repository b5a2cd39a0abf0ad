package fleet

// ViewVersion identifies a view: the raft term of the leader that compiled it, and its epoch, which rises by one with
// each view of a term, from 1.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Before reports whether v is older than other.
func (v ViewVersion) Before(other ViewVersion) bool {
	return v.Term < other.Term || v.Term == other.Term && v.Epoch < other.Epoch
}

// NodeView is one node in a view.
type NodeView struct {
	Node        string      `json:"node"`
	Site        string      `json:"site"`
	Incarnation uint64      `json:"incarnation"`
	AgeMs       int64       `json:"age_ms"` // the most that its report can be old; -1 if not known, or without a report
	Fresh       bool        `json:"fresh"`  // the report is not older than maxFreshAgeIntervals
	Draining    bool        `json:"draining,omitempty"`
	Omitted     int         `json:"cut,omitempty"`
	Metrics     LoadMetrics `json:"figures"`
	// The first tenantsPerNode of its report.
	TenantsByConnections []WeightedKey `json:"by_conns,omitempty"`
	TenantsByWork        []WeightedKey `json:"by_work,omitempty"`
}

// EndpointView is one endpoint as the fresh reports have it.
type EndpointView struct {
	ID             string  `json:"id"`
	ReportingNodes int     `json:"nodes"`
	QueueEstimate  float64 `json:"estimate"`    // the median of their estimates
	Outstanding    float64 `json:"outstanding"` // the sum of their attempts
	FailureRate    float64 `json:"failures"`    // the median of their rates
}

// View is the load of the fleet at one epoch. All readers of one version get the same bytes.
type View struct {
	ViewVersion
	Revision   int64 `json:"revision"` // of the registry's state that the sessions are from
	IntervalMs int64 `json:"interval_ms"`
	// MaintenanceTurns is the number of maintenance turns, so that nodes read the plan only if there are any.
	MaintenanceTurns int            `json:"turns"`
	Nodes            []NodeView     `json:"nodes"`    // every open session, by name
	Endpoints        []EndpointView `json:"backends"` // by ID
}
