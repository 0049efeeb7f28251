package assignment

import (
	"math"

	"parsleyrelay.example/core/directory"
)

// This file keeps the key ranges of cold servers small. All hosts together send a cold server
// at most a limited rate of requests, so that requests for further keys would be refused.

// maxColdShare is the share of its limit up to which ranges are moved to a cold server. The
// rest is for bursts, and for keys whose load is not known yet.
const maxColdShare = 0.5

// coldTargetShare is the share of its limit that is the target of a cold server. Load
// balancing tolerates an excess of a fifth of the target, which is then still below the limit.
const coldTargetShare = 0.8

// minColdRoom is the least room, as a share of the limit, that load balancing fills. The loads
// vary at random, so that moves into less room would add up.
const minColdRoom = 0.15

// SetWarmupLimits sets, by service, the requests per second that a cold server gets at most.
// Services without an entry have no limit. The map must not be changed afterwards.
func (l *Leader) SetWarmupLimits(limits map[string]float64) { l.warmupLimits = limits }

// coldLimit returns the requests per second that a server gets at most, +Inf if it is not
// cold or not limited.
func (l *Leader) coldLimit(s directory.Server) float64 {
	if limit, limited := l.warmupLimits[s.Service]; s.Cold && limited {
		return limit
	}
	return math.Inf(1)
}

// countPerRate returns the decayed count of one request per second after a balancing.
func (p balancePolicy) countPerRate() float64 {
	decay := float64(p.decayFactor)
	return p.interval.Seconds() * decay / (1 - decay)
}

// requestRateOf returns the requests per second for a range, by the higher of its short-term
// and long-term loads at the last balancing. The long-term load is low after a change of the
// leader.
func (l *Leader) requestRateOf(service string, from, to uint16) float64 {
	load := l.keyLoadsByService[service]
	if load == nil {
		return 0
	}
	return max(load.shortTerm.ofRange(from, to)/shortTermPolicy.countPerRate(), load.longTerm.ofRange(from, to)/longTermPolicy.countPerRate())
}

// applyColdLimits limits the targets of cold servers, so that ranges are moved away from one
// that gets more requests than its limit, and sets their room.
func (l *Leader) applyColdLimits(service string, loads []*serverLoad, assignable []directory.Server, policy balancePolicy) {
	rooms := l.coldRooms(service, assignable)
	for _, s := range loads {
		room, cold := rooms[s.server.ID]
		if !cold {
			continue
		}
		limit := l.coldLimit(s.server)
		s.target = min(s.target, max(minTargetLoad, coldTargetShare*limit*policy.countPerRate()))
		if s.room = 0; room > 0 && room >= minColdRoom*limit {
			s.room = room * policy.countPerRate()
		}
	}
}

// leastLoadedWithRoom returns the server that is most below its target, of those to which
// load may be moved, or nil.
func leastLoadedWithRoom(loads []*serverLoad) (least *serverLoad) {
	for _, s := range loads {
		if s.room > 0 && (least == nil || s.actual/s.target < least.actual/least.target) {
			least = s
		}
	}
	return least
}

// coldRooms holds, by server ID, the requests per second for which ranges may still be moved
// to each cold server. Other servers have no entry.
type coldRooms map[string]float64

// coldRooms returns the room of the cold servers among some, nil if there are none.
func (l *Leader) coldRooms(service string, servers []directory.Server) coldRooms {
	var rooms coldRooms
	for _, s := range servers {
		if limit := l.coldLimit(s); !math.IsInf(limit, 1) {
			if rooms == nil {
				rooms = coldRooms{}
			}
			rooms[s.ID] = maxColdShare * limit
		}
	}
	if rooms == nil {
		return nil
	}
	for _, r := range l.newestMap().Services[service] {
		rooms.take(r.Owner.ID, l.requestRateOf(service, r.From, r.To))
	}
	return rooms
}

// fits reports whether a range with a rate of requests may be moved to a server.
func (c coldRooms) fits(server string, rate float64) bool {
	room, cold := c[server]
	return !cold || rate <= room
}

// take records that a range is moved to a server.
func (c coldRooms) take(server string, rate float64) {
	if _, cold := c[server]; cold {
		c[server] -= rate
	}
}

// withRoom returns the servers to which a range may be moved. If there are none, it returns
// all: a range must not stay at a server that leaves.
func (c coldRooms) withRoom(servers []directory.Server, rate float64) []directory.Server {
	if c == nil {
		return servers
	}
	var list []directory.Server
	for _, s := range servers {
		if c.fits(s.ID, rate) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return servers
	}
	return list
}
