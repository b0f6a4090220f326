package spar

// The timing of leases.
const (
	// ClockError bounds the rate error of a VM's clock.
	ClockError = 0.01
	// LeaseTTL is how long a grant lasts on the clock of the one who gave it.
	LeaseTTL Millis = 1000
	// LeaseRenewal is the pause between two renewals.
	LeaseRenewal Millis = 300
)

// HeldFor returns how long the holder of a lease may count on a grant of ttl from the moment it
// sent the renewal: its clock may run slow while the other's runs fast.
func HeldFor(ttl Millis) Millis {
	return ttl * (1 - 2*ClockError)
}

// WaitFor returns how long to wait on one's own clock until ttl has passed on another one.
func WaitFor(ttl Millis) Millis {
	return ttl * (1 + 2*ClockError)
}

// Lease tells until when its holder may act as an owner.
type Lease interface {
	// Until returns the time on the local clock at which the lease ends.
	Until() Millis
}
