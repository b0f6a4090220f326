package spar

// Lease timing.
const (
	// ClockError is the maximum rate error of a VM's clock, as a fraction.
	ClockError = 0.01
	// LeaseTTL is how long a grant is valid on the clock of the node that granted it.
	LeaseTTL Millis = 1000
	// LeaseRenewal is the interval between two renewals.
	LeaseRenewal Millis = 300
)

// HolderTTL returns how long a lease holder may rely on a grant of ttl, counted from the moment at which it sent
// the renewal. It is shorter than ttl since the holder's clock may run slow while the granter's clock runs
// fast.
func HolderTTL(ttl Millis) Millis {
	return ttl * (1 - 2*ClockError)
}

// ExpiryWait returns how long to wait on the local clock until ttl has certainly passed on another node's clock.
func ExpiryWait(ttl Millis) Millis {
	return ttl * (1 + 2*ClockError)
}

// Lease states until when its holder may act as an owner.
type Lease interface {
	// Until returns the time on the local clock at which the lease expires.
	Until() Millis
}
