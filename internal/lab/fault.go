package lab

// The kinds of faults in a scenario file, with their targets. A fault whose field For is set is undone after that time.
const (
	faultKill      = "kill"      // node-N, backend-N, registry-N: SIGKILL
	faultPower     = "power"     // a list of processes, which all get SIGKILL at the same time
	faultTerminate = "term"      // node-N, backend-N, registry-N: SIGTERM
	faultPause     = "pause"     // node-N, backend-N, registry-N: SIGSTOP, and SIGCONT after For
	faultRestart   = "restart"   // node-N, backend-N, registry-N: killed if it still runs, and started again
	faultFill      = "fill"      // node-N, registry-N: Bytes are written into its temporary or data folder
	faultReload    = "hup"       // node-N: discovery moves to another address, and the node gets SIGHUP
	faultHold      = "hold"      // node-N: as pause, but too short to excuse requests, so it opens no fault window
	faultUpgrade   = "upgrade"   // node-N: a second process takes over, and the first gets SIGTERM
	faultDrain     = "drain"     // backend-N: listed as draining in discovery
	faultRejoin    = "rejoin"    // backend-N: killed, started again and listed as ready and just started
	faultOutage    = "outage"    // discovery: the stand-in resets every call during For
	faultPartition = "partition" // a link: connections carry no data
	faultDelay     = "delay"     // a link: every chunk of data is delayed by Delay
	faultReset     = "reset"     // a link: every open connection is reset
	faultDrop      = "drop"      // a link: the share Share of the new connections is reset
)

// Fault is one step of a scenario's schedule. The comments on the kinds say which targets and fields each kind uses.
type Fault struct {
	At     Duration `toml:"at"` // from the start of the load
	Kind   string   `toml:"kind"`
	Target []string `toml:"target"`
	For    Duration `toml:"for"`
	Delay  Duration `toml:"delay"`
	Share  float64  `toml:"share"`
	Bytes  int64    `toml:"bytes"`
}

// isProcessFault reports whether the targets of a kind of fault are processes.
func isProcessFault(kind string) bool {
	switch kind {
	case faultKill, faultPower, faultTerminate, faultPause, faultRestart, faultFill, faultReload, faultHold, faultUpgrade,
		faultDrain, faultRejoin:
		return true
	}
	return false
}

// isLinkFault reports whether the targets of a kind of fault are links.
func isLinkFault(kind string) bool {
	switch kind {
	case faultPartition, faultDelay, faultReset, faultDrop:
		return true
	}
	return false
}
