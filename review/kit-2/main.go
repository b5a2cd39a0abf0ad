// Command review-2 plays the cases 6 to 9 of the second review. Each case starts the project's own programs as
// separate processes on loopback addresses, beside small stand-ins for clients, backends, discovery and a slow network.
package main

import (
	"fmt"
	"os"
)

// verdict is the exit status of a case.
type verdict int

const (
	ruleHeld   verdict = 0
	ruleBroken verdict = 1
	notRun     verdict = 2
)

// cases are the plays, by name.
var cases = map[string]func(*play) verdict{
	"late-grant":     playLateGrant,
	"changed-ttl":    playChangedTTL,
	"empty-list":     playEmptyList,
	"moved-registry": playMovedRegistry,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE REPOSITORY RECORD")
		os.Exit(int(notRun))
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case has the name", os.Args[1])
		os.Exit(int(notRun))
	}
	p, err := newPlay(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	os.Exit(int(p.run(run)))
}
