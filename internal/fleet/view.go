package fleet

// ViewVersion identifies a view by the raft term of the leader that compiled it and by its epoch. The first epoch of a
// term is 1, and the epoch rises by one with each view.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Before reports whether v is older than other.
func (v ViewVersion) Before(other ViewVersion) bool {
	return v.Term < other.Term || v.Term == other.Term && v.Epoch < other.Epoch
}

// NodeView is the state of one node in a view.
type NodeView struct {
	Node        string      `json:"node"`
	Site        string      `json:"site"`
	Incarnation uint64      `json:"incarnation"`
	AgeMs       int64       `json:"age_ms"` // upper bound of the report's age; -1 without a report or if not known
	Fresh       bool        `json:"fresh"`  // the report's age is known and at most maxFreshAgeIntervals
	Draining    bool        `json:"draining,omitempty"`
	Omitted     int         `json:"cut,omitempty"`
	Metrics     LoadMetrics `json:"figures"`
	// The first tenantsPerNode tenants of the node's report.
	TenantsByConnections []WeightedKey `json:"by_conns,omitempty"`
	TenantsByWork        []WeightedKey `json:"by_work,omitempty"`
}

// EndpointView is the load of one endpoint, merged from the fresh reports.
type EndpointView struct {
	ID             string  `json:"id"`
	ReportingNodes int     `json:"nodes"`       // number of nodes whose fresh reports have the endpoint
	QueueEstimate  float64 `json:"estimate"`    // median of the nodes' estimates
	Outstanding    float64 `json:"outstanding"` // sum of the nodes' attempts
	FailureRate    float64 `json:"failures"`    // median of the nodes' rates
}

// View is the load of the fleet at one epoch. All readers of one version get the same bytes.
type View struct {
	ViewVersion
	Revision   int64 `json:"revision"` // revision of the registry's state that has the sessions
	IntervalMs int64 `json:"interval_ms"`
	// MaintenanceTurns is the number of maintenance turns. Nodes read the maintenance plan only if it is above 0.
	MaintenanceTurns int            `json:"turns"`
	Nodes            []NodeView     `json:"nodes"`    // one for each open session, sorted by name
	Endpoints        []EndpointView `json:"backends"` // sorted by ID
}
