package entry

import spar "sardinespar.example/spar"

// endMargin is the time between the latest deadline of a request and the end of the process, in which the response is
// sent.
const endMargin spar.Millis = 100

// EndTime returns when the process ends, and false if it is not about to end. A nil EndTime never ends.
type EndTime func() (spar.Millis, bool)

// bound returns a deadline that does not lie beyond the end of the process. What can't be done by then is refused in
// time, and what is under way gets a response in place of a cut.
func (f EndTime) bound(deadline spar.Millis) spar.Millis {
	if f == nil {
		return deadline
	}

	end, ok := f()
	if !ok {
		return deadline
	}

	return min(deadline, end-endMargin)
}
