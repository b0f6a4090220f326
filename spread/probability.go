package spread

// Probabilities returns the probability with which Choose returns the index of each server. Its time grows with the
// square of the number of servers, so it is not meant for each request.
func Probabilities(servers []Server) []float64 {
	estimates := estimateAll(servers)
	near := min(1, max(0, nearShare(servers, estimates)))
	list := make([]float64, len(servers))

	addChoices(list, near, servers, estimates, func(i int) bool { return servers[i].Near })
	addChoices(list, 1-near, servers, estimates, func(int) bool { return true })

	return list
}

// addChoices adds to list the probabilities of a choice among the usable servers that is made with probability p.
func addChoices(list []float64, p float64, servers []Server, estimates []estimate, usable func(int) bool) {
	if p <= 0 {
		return
	}

	total := totalWeight(estimates, usable, -1)

	for first := range servers {
		if !usable(first) {
			continue
		}

		drawn := p * estimates[first].weight / total
		rest := totalWeight(estimates, usable, first)

		if rest <= 0 {
			list[first] += drawn

			continue
		}

		for second := range servers {
			if second == first || !usable(second) {
				continue
			}

			chosen := first
			if preferSecond(servers, estimates, first, second) {
				chosen = second
			}

			list[chosen] += drawn * estimates[second].weight / rest
		}
	}
}
