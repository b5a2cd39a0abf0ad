package lab

// The kinds of faults in a scenario file, with their targets. One with a For is undone after that time.
const (
	faultKill      = "kill"      // node-N, backend-N, registry-N: SIGKILL
	faultPower     = "power"     // a list of processes, killed at once
	faultTerminate = "term"      // node-N, backend-N, registry-N: SIGTERM
	faultPause     = "pause"     // node-N, backend-N, registry-N: SIGSTOP, and SIGCONT after For
	faultRestart   = "restart"   // node-N, backend-N, registry-N: started again, killed first if it still runs
	faultFill      = "fill"      // node-N, registry-N: Bytes are written into its temporary or data folder
	faultReload    = "hup"       // node-N: discovery moves to another address, and SIGHUP
	faultHold      = "hold"      // node-N: SIGSTOP, and SIGCONT after For, too short to excuse anything
	faultUpgrade   = "upgrade"   // node-N: a second process takes over, and the first gets SIGTERM
	faultDrain     = "drain"     // backend-N: listed as draining in discovery
	faultRejoin    = "rejoin"    // backend-N: killed, started again and listed as ready, just started
	faultOutage    = "outage"    // discovery: the stand-in resets every call for For
	faultPartition = "partition" // a link: connections carry nothing
	faultDelay     = "delay"     // a link: every piece of data is delayed by Delay
	faultReset     = "reset"     // a link: every open connection is reset
	faultDrop      = "drop"      // a link: Share of the new connections are reset
)

// Fault is one step of a scenario's schedule. The kinds say which targets they have and which fields they use.
type Fault struct {
	At     Duration `toml:"at"` // from the start of the load
	Kind   string   `toml:"kind"`
	Target []string `toml:"target"`
	For    Duration `toml:"for"`
	Delay  Duration `toml:"delay"`
	Share  float64  `toml:"share"`
	Bytes  int64    `toml:"bytes"`
}

// isProcessFault tells whether a kind of fault has processes as its targets.
func isProcessFault(kind string) bool {
	switch kind {
	case faultKill, faultPower, faultTerminate, faultPause, faultRestart, faultFill, faultReload, faultHold, faultUpgrade,
		faultDrain, faultRejoin:
		return true
	}
	return false
}

// isLinkFault tells whether a kind of fault has links as its targets.
func isLinkFault(kind string) bool {
	switch kind {
	case faultPartition, faultDelay, faultReset, faultDrop:
		return true
	}
	return false
}
