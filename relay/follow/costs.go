package follow

import "math"

// encodeCosts returns the costs of n requests for a message, or nil if none is known.
func encodeCosts(costs []uint16, n int) []uint32 {
	if len(costs) != n {
		return nil
	}
	list, known := make([]uint32, n), false
	for i, c := range costs {
		list[i], known = uint32(c), known || c > 0
	}
	if !known {
		return nil
	}
	return list
}

// decodeCost returns the cost of request i of n, or 0 if it is not known or the list is
// damaged.
func decodeCost(costs []uint32, n, i int) uint16 {
	if len(costs) != n {
		return 0
	}
	return uint16(min(costs[i], math.MaxUint16))
}
