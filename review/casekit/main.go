// Command casekit runs the cases of the review. It has the stand-ins for clients, backends and discovery, and starts
// the node with the command of the deploy file. Arguments: the case, the repository's folder and the folder of the
// case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	argCount   = 4
)

// cases are the cases by name. Each reports what broke the rule; an empty text means that the rule held.
var cases = map[string]func(*world) (broken string, err error){
	"late-answer":  lateAnswer,
	"late-refusal": lateRefusal,
	"slow-body":    slowBody,
	"hung-upload":  hungUpload,
}

func main() { os.Exit(runCase(os.Args)) }

// runCase runs the case that the arguments name and returns the exit status.
func runCase(args []string) int {
	if len(args) != argCount || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE ROOT FOLDER")
		return exitNotRun
	}
	w, err := newWorld(args[2], args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "casekit:", err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[args[1]](w)
	switch {
	case err != nil:
		w.note("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, "casekit:", err)
		return exitNotRun
	case broken != "":
		w.note("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
