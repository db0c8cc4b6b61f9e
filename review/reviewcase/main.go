package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run()) }

// run plays the case that the flags name, and returns the exit status.
func run() int {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruptions of the case")
	length := flag.Duration("length", 100*time.Second, "time during which clients send")
	flag.Parse()
	out, err := os.Create(*recordPath)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = out.Close() }()
	rec := newRecord(out)
	play, ok := cases()[*name]
	if !ok {
		return failed(fmt.Errorf("no case %q", *name))
	}
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		return failed(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	broken, err := play(&setup{record: rec, dir: dir, trouble: *trouble, length: *length})
	rec.flush()
	if err != nil {
		return failed(err)
	}
	for _, line := range broken {
		rec.write("BROKEN", line)
		_, _ = fmt.Fprintln(os.Stdout, "BROKEN", line)
	}
	rec.write("result", rec.summary())
	rec.flush()
	_, _ = fmt.Fprintln(os.Stdout, rec.summary())
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// failed reports an error because of which the case could not be played.
func failed(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "reviewcase:", err)
	return exitFailed
}

// setup is what a case is played with.
type setup struct {
	record  *record
	dir     string
	trouble bool
	length  time.Duration
}

// caseFunc plays a case and returns a line for each time that the rule was broken.
type caseFunc func(s *setup) (broken []string, err error)

// cases returns the cases by name.
func cases() map[string]caseFunc {
	return map[string]caseFunc{
		"misdirected":   playMisdirected,
		"third-attempt": playThirdAttempt,
	}
}
