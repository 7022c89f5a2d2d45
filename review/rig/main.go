// Command rig plays the scripts of the review. It starts the daemons as separate
// processes, with the platform's settings file, and stand-ins of the store, the workers and
// the clients on loopback addresses.
//
// Usage: rig CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by name. Each plays itself and returns what broke the rule.
var cases = map[string]func(r *rig) ([]string, error){
	"encoded-slash": encodedSlash,
	"large-bodies":  largeBodies,
	"stray-report":  strayReport,
	"late-report":   lateReport,
	"popular-path":  popularPath,
	"kept-after":    keptAfterTimeout,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	r, err := newRig(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	broken, err := r.play(cases[args[0]])
	r.close()
	if err != nil {
		r.note("could not run: %v", err)
	}
	for _, text := range broken {
		r.note("BROKEN %s", text)
	}
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
	case len(broken) > 0:
		code = exitBroken
	}
	r.note("trouble=%v broken=%d exit=%d", r.trouble, len(broken), code)
	if err := r.writeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	fmt.Printf("%s: trouble=%v broken=%d exit=%d\n", args[0], r.trouble, len(broken), code)
	for i, text := range broken {
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(broken)-i)
			break
		}
		fmt.Println(" ", text)
	}
	return code
}

// maxPlay bounds a play.
const maxPlay = 100 * time.Second

// errEnded means that a play took longer than maxPlay, or that a signal ended it.
var errEnded = errors.New("the play was ended before its end")

// play plays a case, at most for maxPlay and until a signal.
func (r *rig) play(one func(r *rig) ([]string, error)) (broken []string, err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, maxPlay)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = one(r)
	}()
	select {
	case <-done:
		return broken, err
	case <-ctx.Done():
		return nil, errEnded
	}
}

// maxPrinted is the number of breaks that are printed; the record has all.
const maxPrinted = 3
