package spar

// Withdrawal is an operator's decision on an availability zone or on one VM's backend server.
// Op identifies the operator's request, so that a lost reply can be resolved by reading the row.
type Withdrawal struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
	By   string `json:"by"`
	Op   string `json:"op"`
}
