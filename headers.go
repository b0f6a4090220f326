package spar

// HeaderNames are the HTTP headers by which a deployment's callers and backend servers speak to
// sardinespar. The adapter of a deployment fills them in; an empty name is never read or sent.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; the backend server echoes it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// Key holds a request's key on services that are divided by key.
	Key string
	// Caller names the service of the VM where a request began.
	Caller string
	// Instance names the backend server that may run the request, and no other.
	Instance string
	// NotRun is set by a backend server that did not run the request.
	NotRun string
	// Load holds a backend server's running and waiting requests, its slots and its slowness in percent.
	Load string
	// Cold holds the milliseconds that a backend server stays cold, in its health answers.
	Cold string
	// Self names the backend server that answers.
	Self string
}

// Life is one run of a backend server from its start to its end.
type Life struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// IsZero reports whether no backend server is meant.
func (l Life) IsZero() bool {
	return l == Life{}
}
