package exper

import (
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/launch"
)

// ZoneMove takes the deployment's second zone out and brings it back.
func ZoneMove(d launch.Deployment) Scenario {
	zone := d.Zones[min(1, len(d.Zones)-1)]

	return Scenario{
		Name: "zone leaves and returns", Duration: 36 * time.Second, Rate: 1,
		Steps: []Step{
			{At: 8 * time.Second, What: "zone " + string(zone) + " out", Do: ZoneOut(zone)},
			{At: 20 * time.Second, What: "zone " + string(zone) + " in", Do: ZoneIn(zone)},
		},
	}
}

// Losses kills one VM and freezes another of the services divided by key.
func Losses(d launch.Deployment) Scenario {
	var keyed []string

	for _, s := range d.Services {
		if s.Mode == spar.ModeKeyed {
			keyed = append(keyed, s.Name)
		}
	}

	first, last := keyed[0], keyed[len(keyed)-1]

	return Scenario{
		Name: "VM killed, VM frozen for 6 s", Duration: 24 * time.Second, Rate: 1,
		Steps: []Step{
			{At: 6 * time.Second, What: "kill " + last + "-1", Do: Kill(last, 1)},
			{At: 10 * time.Second, What: "freeze " + first + "-2", Do: Freeze(first, 2)},
			{At: 16 * time.Second, What: "thaw " + first + "-2", Do: Thaw(first, 2)},
			{At: 18 * time.Second, What: "restart " + last + "-1", Do: Restart(last, 1)},
		},
	}
}

// Outage takes the platform's table away.
func Outage(length time.Duration) Scenario {
	return Scenario{
		Name: "outage of the table", Duration: length + 8*time.Second, Rate: 1,
		Steps: []Step{
			{At: 4 * time.Second, What: "table out", Do: StoreOutage(true)},
			{At: 4*time.Second + length, What: "table back", Do: StoreOutage(false)},
		},
	}
}

// Stragglers slows two upstreams of every service that has more than two, tenfold.
func Stragglers(d launch.Deployment) Scenario {
	const factor = 10

	sc := Scenario{Name: "two upstreams of each service slowed tenfold", Duration: 20 * time.Second, Rate: 1}

	for _, s := range d.Services {
		slowed := 2
		if s.Upstreams < 5 {
			slowed = 1
		}

		for n := 1; n <= slowed; n++ {
			sc.Steps = append(sc.Steps, Step{
				At: 5 * time.Second, What: "slow " + s.Name, Do: Slow(s.Name, n, factor),
			})
		}
	}

	return sc
}
