package follow

import (
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/relay/edge"
)

// encodeLoadReport puts the service times of all servers into one message without a
// service, followed by one message for the keys of each service.
func encodeLoadReport(r edge.LoadReport) []*followv1.Arrivals {
	serviceTimes := &followv1.Arrivals{}
	for server, t := range r.ServiceTimes {
		serviceTimes.Times = append(serviceTimes.Times, &followv1.ServiceTime{Server: server, Sent: uint32(t.Sent), Answered: uint32(t.Answered), Count: uint32(t.Count), SumMs: uint32(t.Sum.Milliseconds()), Reports: uint32(t.Reports), Waiting: uint32(t.Waiting),
			SlowdownPercent: uint32(t.SlowdownPercent)})
	}
	var messages []*followv1.Arrivals
	if len(serviceTimes.Times) > 0 {
		messages = append(messages, serviceTimes)
	}
	for service, keys := range r.RequestedKeys {
		a := &followv1.Arrivals{Service: service, Keys: make([]uint32, len(keys))}
		for i, k := range keys {
			a.Keys[i] = uint32(k)
		}
		messages = append(messages, a)
	}
	return messages
}

func decodeLoadReport(messages []*followv1.Arrivals) edge.LoadReport {
	report := edge.LoadReport{RequestedKeys: map[string][]uint16{}, ServiceTimes: map[string]edge.ServiceTime{}}
	for _, a := range messages {
		for _, k := range a.Keys {
			if k >= assignment.KeyCount {
				continue // damaged
			}
			report.RequestedKeys[a.Service] = append(report.RequestedKeys[a.Service], uint16(k))
		}
		for _, t := range a.Times {
			report.ServiceTimes[t.Server] = edge.ServiceTime{Sent: int(t.Sent), Answered: int(t.Answered), Count: int(t.Count), Sum: time.Duration(t.SumMs) * time.Millisecond,
				Reports: int(t.Reports), Waiting: int(t.Waiting), SlowdownPercent: int(t.SlowdownPercent)}
		}
	}
	return report
}

func decodeAdmittedShares(list []*followv1.AdmittedShare) map[string]float64 {
	shares := make(map[string]float64, len(list))
	for _, a := range list {
		shares[a.Server] = float64(a.PerMille) / 1000
	}
	return shares
}
