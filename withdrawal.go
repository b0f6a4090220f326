package spar

// Withdrawal states whether an operator has withdrawn an availability zone or the backend server of one VM.
type Withdrawal struct {
	Name      string `json:"name"`
	Withdrawn bool   `json:"out"`
	By        string `json:"by"`
	// Op identifies the operator's request, so that a client that lost the reply can read the row to find out
	// whether the request took effect.
	Op string `json:"op"`
}
