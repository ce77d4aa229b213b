// Command stand-2 plays the scripted cases of this review: it starts nodes and workers as processes, with a stand-in of the
// platform and a client in its own process.
//
//	stand-2 case NAME RECORD   exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
//	stand-2 worker ...         is one worker
//
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// maxCaseTime bounds a case.
const maxCaseTime = 115 * time.Second

var cases = map[string]func(w *world, trouble bool) error{
	"retry":   retryCase,
	"kept":    keptCase,
	"waves":   wavesCase,
	"memory":  memoryCase,
	"removal": removalCase,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 case NAME RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[2]], os.Args[3]))
}

func play(f func(w *world, trouble bool) error, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	ended := make(chan error, 1)
	go func() { ended <- f(w, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-interrupted:
		err = errSetup
	case <-time.After(maxCaseTime):
		err = fmt.Errorf("%w: it took longer than %s", errSetup, maxCaseTime)
	}
	switch {
	case err == nil:
		w.say("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.say("result: %v", err)
		fmt.Println(err)
		return 1
	}
	w.say("result: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}
