package assignment

import (
	"maps"
	"math"
	"time"

	"parsleyrelay.example/core/directory"
)

// This file finds servers that have stopped answering. A host sends so few requests to each
// server that it notices a silent one only when a request times out, so that with many hosts
// each of them loses requests. The leader sees the requests and responses of all hosts.

const (
	// minSilence is the shortest time without a response after which a server is silent. A
	// server whose machine is slowed by others for a moment still answers meanwhile.
	minSilence = 900 * time.Millisecond
	// silentServiceTimes is the least number of mean service times that the silence lasts.
	silentServiceTimes = 3
	// minSilentSends is the least number of requests that were sent without a response. The
	// slots of a server that works are not all occupied by that many requests for so long.
	minSilentSends = 5
	// silentShare is the share of the requests for a silent server that hosts may queue, so
	// that they notice when it answers again. The others are refused at once, because their
	// callers would wait for a timeout.
	silentShare = 0.1
)

// serverContact counts the requests that all hosts sent to a server and its responses.
type serverContact struct {
	born           int64 // start time of the server that is counted
	sent, answered int   // in the present interval
	unanswered     int   // requests sent since the last response
	quietIntervals int   // balancing intervals since the first of these
	silent         bool
}

// RecordContact records that hosts sent a number of requests to a server, and that it
// answered a number of requests, since their last reports.
func (l *Leader) RecordContact(server string, sent, answered int) {
	if sent <= 0 && answered <= 0 || !l.isListed(server) {
		return
	}
	c := l.contacts[server]
	if c == nil {
		c = &serverContact{}
		l.contacts[server] = c
	}
	c.sent += max(0, sent)
	c.answered += max(0, answered)
}

// IsSilent reports whether a server has stopped answering.
func (l *Leader) IsSilent(server string) bool {
	c := l.contacts[server]
	return c != nil && c.silent
}

// dropContacts forgets the servers of a service without a load, and those that are not listed.
func (l *Leader) dropContacts(service string, loads []*serverLoad) {
	loaded := make(map[string]bool, len(loads))
	for _, s := range loads {
		loaded[s.server.ID] = true
	}
	maps.DeleteFunc(l.contacts, func(id string, _ *serverContact) bool { return !loaded[id] && l.endsWith(service, id) })
}

// withoutSilent returns the servers that are not silent, or all if there are none. A range
// that moves to a silent server is not served until it answers.
func (l *Leader) withoutSilent(servers []directory.Server) []directory.Server {
	var list []directory.Server
	for _, s := range servers {
		if !l.IsSilent(s.ID) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return servers
	}
	return list
}

// updateSilence ends an interval of a server's contact. A server that has started again is
// not silent for what its former life did not answer.
func (l *Leader) updateSilence(service string, server directory.Server) {
	c := l.contacts[server.ID]
	if c == nil {
		return
	}
	if c.born != server.Born {
		*c = serverContact{born: server.Born, sent: c.sent, answered: c.answered}
	}
	silence := max(minSilence.Seconds(), silentServiceTimes*l.meanSecondsOf(service))
	c.endInterval(int(math.Ceil(silence / shortTermPolicy.interval.Seconds())))
}

// endInterval begins the next interval. The server is silent if it has not answered for a
// number of intervals, and until its next response.
func (c *serverContact) endInterval(silentIntervals int) {
	sent, answered := c.sent, c.answered
	c.sent, c.answered = 0, 0
	if answered > 0 {
		c.unanswered, c.quietIntervals, c.silent = 0, 0, false
		return
	}
	if c.unanswered > 0 {
		c.quietIntervals++
	}
	c.unanswered += sent
	c.silent = c.silent || c.quietIntervals >= silentIntervals && c.unanswered >= minSilentSends
}
