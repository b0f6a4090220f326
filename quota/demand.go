package quota

import spar "sardinespar.example/spar"

const (
	// demandSlot is the time over which requests are counted to estimate a rate.
	demandSlot spar.Millis = 500
	// aheadTime is the time for whose expected requests credits are requested in advance. With half of creditTTL, few
	// credits expire unused although the requests come at random.
	aheadTime spar.Millis = 250
	// maxCredits bounds the credits in one request.
	maxCredits = 1000
)

// Demand estimates the rate of a tenant's requests at a node.
type Demand struct {
	slot     int64
	count    float64
	previous float64
}

// Add counts a request.
func (d *Demand) Add(now spar.Millis) {
	d.roll(now)
	d.count++
}

func (d *Demand) roll(now spar.Millis) {
	slot := int64(now / demandSlot)

	switch {
	case slot == d.slot+1:
		d.previous, d.count = d.count, 0
	case slot > d.slot:
		d.previous, d.count = 0, 0
	}

	d.slot = max(d.slot, slot)
}

// Expected returns the number of requests that are expected within a time, at the rate of the last one to two slots.
func (d *Demand) Expected(now, within spar.Millis) float64 {
	d.roll(now)

	elapsed := now - spar.Millis(d.slot)*demandSlot

	return (d.previous + d.count) * float64(within/(demandSlot+elapsed))
}

// Ahead returns how many credits a node keeps in advance. It is 0 while less than one request is expected, since most
// credits would expire unused then.
func (d *Demand) Ahead(now spar.Millis) int {
	return int(d.Expected(now, aheadTime))
}

// BatchSize returns how many credits to request: one for each request that waits, and those in advance if at most half
// of them are left.
func BatchSize(waiting, stock, ahead int) int {
	n := max(0, waiting-stock)
	if ahead > 0 && stock-waiting <= ahead/2 {
		n = waiting + ahead - stock
	}

	return min(n, maxCredits)
}

// Share returns the share of each tenant's limit that belongs to each of the known nodes. It is 0 if the nodes are not
// known yet.
func Share(known int) float64 {
	if known <= 0 {
		return 0
	}

	return 1 / float64(known)
}
