package entry

// SetLoad and GetLoad are tested without two nodes.
var (
	SetLoad = setLoad
	GetLoad = getLoad
)
