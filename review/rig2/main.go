// Command rig2 plays the scripts of the second independent review: it starts the project's
// daemons as processes, with stand-ins of the platform's store, of workers and of clients, on
// loopback addresses.
//
//	rig2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a case. The rest of the 120 seconds is for ending processes.
const limit = 110 * time.Second

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(p *play) (bool, error){
	"allowance":      allowance,
	"foreign-report": foreignReport,
	"keys":           keys,
	"late-report":    lateReport,
	"popular":        popular,
	"stop-calls":     stopCalls,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const wantedArgs = 2
	if len(args) != wantedArgs || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	p, err := newPlay(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p.printf("case %s, disruption: %v", args[0], p.trouble)
	ended := time.AfterFunc(limit, func() {
		p.printf("not run: longer than %s", limit)
		p.close()
		os.Exit(exitNotRun)
	})
	defer ended.Stop()
	broken, err := cases[args[0]](p)
	p.close()
	switch {
	case err != nil:
		p.printf("not run: %v", err)
		return exitNotRun
	case broken:
		p.printf("result: the rule was broken")
		return exitBroken
	}
	p.printf("result: the rule held")
	return exitHeld
}
