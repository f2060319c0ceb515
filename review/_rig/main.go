// Command rig plays the platform, the servers and the clients of one review case
// against the built system.
//
//	rig CASE RECORD
//
// It runs from the root of the repository. It exits with 1 if the rule of the
// case was broken, with 0 if it held and with 2 if the case could not run.
// TROUBLE=0 in the environment leaves the disruption out. KEEP=1 keeps the logs
// of the hosts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxTime is when a case is ended that takes too long.
const maxTime = 115 * time.Second

// cases are the cases by name. Each returns what was broken, or "".
var cases = map[string]func(w *world, trouble bool) (broken string, err error){
	"task-burst":   taskBurst,
	"late-reborn":  lateReborn,
	"false-crash":  falseCrash,
	"large-bodies": largeBodies,
	"changed-kind": changedKind,
	"far-gang":     farGang,
	"born-earlier": bornEarlier,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var once sync.Once
	finish := func(code int) {
		once.Do(func() {
			w.close()
			os.Exit(code)
		})
		select {}
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
			w.rec("the case was stopped")
		case <-time.After(maxTime):
			w.rec("the case took too long")
		}
		finish(2)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.rec("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		finish(2)
	case broken != "":
		w.rec("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		finish(1)
	default:
		w.rec("the rule held")
		fmt.Println("held")
		finish(0)
	}
}
