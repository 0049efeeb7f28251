package edge

import (
	"strconv"
	"strings"

	"parsleyrelay.example/core/dispatch"
)

// reportedNumbers is the number of values of the load header that a report needs.
const reportedNumbers = 3

// parseLoad parses "running,waiting,slots" and the optional fourth number, the slowdown in
// percent. Further values are ignored, and so is a fourth one that cannot be read. It
// returns nil if one of the first three is missing or malformed.
func parseLoad(s string) *dispatch.Load {
	fields := strings.SplitN(s, ",", reportedNumbers+2)
	if len(fields) < reportedNumbers {
		return nil
	}
	var numbers [reportedNumbers + 1]int
	for i, field := range fields[:min(len(fields), len(numbers))] {
		v, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || v < 0 {
			if i < reportedNumbers {
				return nil
			}
			v = 0
		}
		numbers[i] = v
	}
	return &dispatch.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowdown: numbers[3]}
}
