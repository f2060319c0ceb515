// Command _stand plays the platform, the workers and the clients around real
// processes of the system, for the cases of the review.
//
// Usage: stand CASE RECORD. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*world, bool) error{"large-job": largeJob, "region-cut": regionCut, "kills": kills, "lost-worker": lostWorker, "long-task": longTask}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	err = play(w, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		w.note("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		status = 2
	case len(w.broken) > 0:
		fmt.Println("broken:", w.broken[0])
		status = 1
	default:
		w.note("the rule held")
		fmt.Println("the rule held")
	}
	w.close()
	os.Exit(status)
}
