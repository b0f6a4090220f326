package entry

// SetLoad and GetLoad are tested without two nodes.
var (
	SetLoad = setLoad
	GetLoad = getLoad
)

// SampleProbabilities and SpreadProbabilities are compared with the choices of Best and Spread.
var (
	SampleProbabilities = (*Tracker).sampleProbabilities
	SpreadProbabilities = (*Tracker).spreadProbabilities
)
