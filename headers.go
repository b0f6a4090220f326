package spar

// HeaderNames are the names of the HTTP headers that a deployment's callers and backend servers use. The
// deployment's adapter sets them. A header whose name is empty is neither read nor sent.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller. The backend server echoes it.
	RequestID string
	// Deadline holds how long the sender will wait, in milliseconds.
	Deadline string
	// Key holds the key of a request to a keyed service.
	Key string
	// APIKey holds the API key of a caller, which identifies its tenant. It is never passed on.
	APIKey string
	// Tenant names the tenant of a request to a backend server. It is not accepted from callers.
	Tenant string
	// Caller names the service of the VM that a request originates from.
	Caller string
	// ExpectedInstance names the only backend server that may run the request.
	ExpectedInstance string
	// NotRun is set in a response by a backend server that did not run the request.
	NotRun string
	// Seal is set in every success of a backend server, with a value that is passed on unchanged.
	Seal string
	// Load holds a backend server's numbers of running requests, waiting requests and slots, and its slowdown
	// in percent.
	Load string
	// Cold holds in health check responses for how many milliseconds the backend server will still be cold.
	Cold string
	// InstanceID names the backend server that responds.
	InstanceID string
}

// Incarnation identifies one incarnation of a backend server, from its start to its end.
type Incarnation struct {
	ID string `json:"id"`
	// StartedMs is the start time in Unix milliseconds.
	StartedMs int64 `json:"born"`
}

// IsZero reports whether l identifies no backend server.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}
