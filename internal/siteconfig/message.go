package siteconfig

// settingsMessage is the settings object with its JSON keys. Times are in nanoseconds unless the key says otherwise.
type settingsMessage struct {
	NInstances     int                `json:"nInstances"`
	Index          int                `json:"index"`
	Zone           int                `json:"zone"`
	Classes        []classMessage     `json:"classes"`
	Tenants        []tenantMessage    `json:"tenants"`
	OverShareWorth float64            `json:"overShareWorth"`
	WorthBy        string             `json:"worthBy"`
	Domain         domainMessage      `json:"domain"`
	Callers        callersMessage     `json:"callers"`
	MembershipMode string             `json:"membershipMode"`
	LoadReport     loadReportMessage  `json:"loadReport"`
	WeightKind     string             `json:"weightKind"`
	Limits         limitsMessage      `json:"limits"`
	Prices         pricesMessage      `json:"prices"`
	Obligations    obligationsMessage `json:"obligations"`
	Goal           goalMessage        `json:"goal"`
	Tick           int64              `json:"tick"`
	Stage          int                `json:"stage"`
	Zones          []string           `json:"zones"`
	Tiers          []string           `json:"tiers"`
	SKUs           []string           `json:"skus"`
	ServiceType    string             `json:"serviceType"`
}

// classMessage becomes a balance.Class.
type classMessage struct {
	Name       string  `json:"name"`
	Aim        int64   `json:"aim"`
	AimStretch float64 `json:"aimStretch"`
	Deadline   int64   `json:"deadline"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"keyScope"`
	Window     int64   `json:"window"`
	LateWorth  float64 `json:"lateWorth"`
	Points     float64 `json:"points"`
	Stream     bool    `json:"stream"`
}

// tenantMessage becomes a balance.Tenant.
type tenantMessage struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quotaPerS"`
	Share     float64 `json:"share"`
}

// domainMessage holds settings about the endpoints; see balance.Config.WarmKeys and PassesDeadline.
type domainMessage struct {
	WarmKeys       bool `json:"warmKeys"`
	PassesDeadline bool `json:"passesDeadline"`
}

// callersMessage holds settings about the clients; see balance.Config.ClientsMarkRetries.
type callersMessage struct {
	MarksRetry bool `json:"marksRetry"`
}

// loadReportMessage holds the source and the values of load reports.
type loadReportMessage struct {
	Source  string   `json:"source"`
	Columns []string `json:"columns"`
}

// limitsMessage becomes balance.Limits.
type limitsMessage struct {
	Cancelling      bool    `json:"cancelling"`
	Probing         bool    `json:"probing"`
	Peers           bool    `json:"peers"`
	SecondCopies    bool    `json:"secondCopies"`
	RetryAfter      bool    `json:"retryAfter"`
	MaxAttempts     int     `json:"maxAttempts"`
	MaxRetryAfter   int64   `json:"maxRetryAfter"`
	ConnectTimeout  int64   `json:"connectTimeout"`
	IdleClose       int64   `json:"idleClose"`
	StreamsPerConn  int     `json:"streamsPerConn"`
	MaxOpen         int     `json:"maxOpen"`
	CPUUsPerS       float64 `json:"cpuUsPerS"`
	CPUUsPerRequest float64 `json:"cpuUsPerRequest"`
}

// pricesMessage becomes balance.Prices.
type pricesMessage struct {
	CrossZone  float64 `json:"crossZone"`
	Waste      float64 `json:"waste"`
	LateFail   float64 `json:"lateFail"`
	Probe      float64 `json:"probe"`
	Peer       float64 `json:"peer"`
	Handshake  float64 `json:"handshake"`
	Connection float64 `json:"connection"`
	Membership float64 `json:"membershipMode"`
	Moves      float64 `json:"moves"`
	Origin     float64 `json:"origin"`
	Fleet      float64 `json:"fleet"`
}

// obligationsMessage becomes balance.Rules.
type obligationsMessage struct {
	GraceToAnswer int64   `json:"graceToAnswer"`
	DrainGrace    int64   `json:"drainGrace"`
	AskEvery      int64   `json:"askEvery"`
	ColdShare     float64 `json:"coldShare"`
	WarmWithin    int64   `json:"warmWithin"`
	FallMultiple  float64 `json:"fallMultiple"`
	OverloadFor   int64   `json:"overloadFor"`
}

// goalMessage becomes balance.Goal.
type goalMessage struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
	WorstWindow float64 `json:"worstWindow"`
}
