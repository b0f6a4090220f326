// Stand runs the cases of the review: it starts the project's relays as separate processes, with stand-ins for the
// platform's store, the backend servers and the clients, and checks the rules of the users' pages.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

const (
	// limit ends a case that hangs.
	limit = 115 * time.Second
	// settle is how long a case waits until its processes serve.
	settle = 5 * time.Second
	// requestTime is how long a client waits for an answer.
	requestTime = 1500 * time.Millisecond
	// noKey is the key of a request without one.
	noKey = -1
)

// env is what a case works with.
type env struct {
	rec     *record
	fleet   *fleet
	store   *store
	check   *checker
	trouble bool
}

var cases = map[string]func(e *env) error{}

func init() {
	// Relays end with the thread that started them.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, in the repository's root")
		os.Exit(exitFailed)
	}

	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(e *env) error, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}

	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}

	fl, err := newFleet(root, rec)
	if err != nil {
		return fail(err)
	}
	defer fl.close()

	st := newStore()
	if err := st.listen(fl.storeAddr()); err != nil {
		return fail(err)
	}

	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "time is over")
		fl.close()
		os.Exit(exitFailed)
	})

	e := &env{rec: rec, fleet: fl, store: st, check: newChecker(rec), trouble: os.Getenv("TROUBLE") != "0"}
	if err := f(e); err != nil {
		rec.line("the case could not run: %v", err)

		return fail(err)
	}

	e.check.mu.Lock()
	defer e.check.mu.Unlock()

	fmt.Println("answers:", e.check.counts)
	rec.line("answers: %v", e.check.counts)

	if len(e.check.broken) == 0 {
		rec.line("no rule was broken")
		fmt.Println("no rule was broken")

		return exitHeld
	}

	for _, b := range e.check.broken[:min(5, len(e.check.broken))] {
		fmt.Println(b)
	}

	fmt.Println("broken:", len(e.check.broken))

	return exitBroken
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)

	return exitFailed
}
