// Command plant plays a case of the second review: it starts hosts of the
// product as separate processes, with the command of the deploy file, beside a
// platform on loopback, injects the disruption of the case and checks the rule.
//
// # Usage
//
//	plant CASE --product FILE --record FILE
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run. With TROUBLE=0 in the environment it plays the case without its
// disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxPlayTime ends a play that hangs.
const maxPlayTime = 115 * time.Second

// cases are the cases by name. Each returns what broke the rule, or nothing.
func cases() map[string]func(*play) (string, error) {
	return map[string]func(*play) (string, error){
		"stuck":   playStuck,
		"full":    playFull,
		"reclaim": playReclaim,
		"advice":  playAdvice,
		"giveup":  playGiveUp,
	}
}

func main() {
	time.AfterFunc(maxPlayTime, func() {
		fmt.Println("the case took too long")
		os.Exit(exitCannotRun)
	})
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the arguments name.
func run(args []string) int {
	if len(args) != 5 || args[1] != "--product" || args[3] != "--record" || cases()[args[0]] == nil {
		fmt.Println("usage: plant CASE --product FILE --record FILE")
		return exitCannotRun
	}
	p, err := newPlay(args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not start:", err)
		return exitCannotRun
	}
	broken, err := cases()[args[0]](p)
	p.close()
	result := exitHeld
	switch {
	case err != nil:
		p.note("the case could not run: %v", err)
		result = exitCannotRun
	case broken != "":
		p.note("BROKEN %s", broken)
		result = exitBroken
	default:
		p.note("the rule held")
	}
	if err := p.writeRecord(args[4]); err != nil {
		fmt.Println("cannot write the record:", err)
		return exitCannotRun
	}
	return result
}
