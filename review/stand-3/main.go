// Program stand3 plays the script cases of the third review. It starts the relays with the command of the deploy file
// and plays their clients, upstreams and store.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the script cases by name. trouble is false if the disruption is left out. They return whether the rule was
// broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"pipeline-term": pipelineTerm,
	"slow-reader":   slowReader,
	"fragments":     fragments,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")

		return exitFailed
	}

	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}

	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")

	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)

		return exitFailed
	case broken:
		rec.say("the rule was broken")

		return exitBroken
	}

	rec.say("the rule held")

	return exitHeld
}

// manifest returns a manifest that routes one host to one service each.
func manifest(routes ...map[string]any) map[string]any {
	var listeners, clusters []any

	for _, r := range routes {
		listeners = append(listeners, map[string]any{"host": r["host"], "route_rules": []any{map[string]any{
			"name": "r-" + r["service"].(string), "kind": r["kind"], "slo_ms": r["slo_ms"], "priority": 2,
			"match":  map[string]any{"prefix": "/"},
			"action": map[string]any{"service": r["service"], "timeout_ms": r["timeout_ms"], "attempts": 2},
		}}})
		clusters = append(clusters, map[string]any{
			"name": r["service"], "health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false,
			"cold_s": 3.0, "cold_per_s": 29.0, "shard_enabled": r["keyed"] == true,
		})
	}

	return map[string]any{
		"version": "00000007",
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"listeners": listeners, "clusters": clusters,
	}
}
