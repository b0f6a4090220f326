package exper

import (
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/launch"
)

// ZoneWithdrawal withdraws the deployment's second availability zone and later restores it.
func ZoneWithdrawal(d launch.Deployment) Scenario {
	zone := d.Zones[min(1, len(d.Zones)-1)]

	return Scenario{
		Name: "zone leaves and returns", Duration: 36 * time.Second, RateFactor: 1,
		Steps: []Step{
			{At: 8 * time.Second, Description: "zone " + string(zone) + " withdrawn", Run: WithdrawZone(zone)},
			{At: 20 * time.Second, Description: "zone " + string(zone) + " restored", Run: RestoreZone(zone)},
		},
	}
}

// VMFailures kills a VM of the last keyed service and freezes one of the first. Later it restarts the one
// and thaws the other.
func VMFailures(d launch.Deployment) Scenario {
	var keyed []string

	for _, s := range d.Services {
		if s.Mode == spar.ModeKeyed {
			keyed = append(keyed, s.Name)
		}
	}

	first, last := keyed[0], keyed[len(keyed)-1]

	return Scenario{
		Name: "VM killed, VM frozen for 6 s", Duration: 24 * time.Second, RateFactor: 1,
		Steps: []Step{
			{At: 6 * time.Second, Description: "kill " + last + "-1", Run: Kill(last, 1)},
			{At: 10 * time.Second, Description: "freeze " + first + "-2", Run: Freeze(first, 2)},
			{At: 16 * time.Second, Description: "thaw " + first + "-2", Run: Thaw(first, 2)},
			{At: 18 * time.Second, Description: "restart " + last + "-1", Run: Restart(last, 1)},
		},
	}
}

// TableOutage makes the platform's table unavailable for the given time.
func TableOutage(length time.Duration) Scenario {
	return Scenario{
		Name: "outage of the table", Duration: length + 8*time.Second, RateFactor: 1,
		Steps: []Step{
			{At: 4 * time.Second, Description: "table unavailable", Run: SetTableOutage(true)},
			{At: 4*time.Second + length, Description: "table available", Run: SetTableOutage(false)},
		},
	}
}

// Stragglers slows down two upstreams of every service tenfold, or one if the service has fewer than five.
func Stragglers(d launch.Deployment) Scenario {
	const factor = 10

	sc := Scenario{Name: "two upstreams of each service slowed tenfold", Duration: 20 * time.Second, RateFactor: 1}

	for _, s := range d.Services {
		slowed := 2
		if s.Upstreams < 5 {
			slowed = 1
		}

		for n := 1; n <= slowed; n++ {
			sc.Steps = append(sc.Steps, Step{
				At: 5 * time.Second, Description: "slow " + s.Name, Run: SlowDown(s.Name, n, factor),
			})
		}
	}

	return sc
}
