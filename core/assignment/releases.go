package assignment

import "time"

// ReleaseEvidence says why a previous holder cannot hold a range any more.
type ReleaseEvidence string

// The kinds of evidence.
const (
	ReleasedByHolder       ReleaseEvidence = "released"                // the holder answered a release
	GrantExpired           ReleaseEvidence = "expired"                 // no grant that may have reached the holder is valid any more
	AddressTakenOver       ReleaseEvidence = "address_reused"          // another server responded at the holder's address
	NewerServerAtAddress   ReleaseEvidence = "newer_server_at_address" // a newer server is listed with the holder's address, and calls to the holder are refused
	NewerIncarnationListed ReleaseEvidence = "newer_incarnation"       // a newer incarnation of the holder is listed
)

// CompletedRelease is a range that its previous holder no longer holds.
type CompletedRelease struct {
	Service       string
	From, To      uint16
	Holder, Owner ServerIncarnation
	Evidence      ReleaseEvidence
	Fence         uint64        // of the last grant to the holder in this term; 0 for none
	GrantLeft     time.Duration // time for which the holder's last grant would still have been valid
}

// maxCompletedReleases limits the releases that are kept for TakeCompletedReleases.
const maxCompletedReleases = 4096

// recordRelease keeps a release for TakeCompletedReleases. Without a caller of that
// method the oldest ones are dropped.
func (l *Leader) recordRelease(r CompletedRelease) {
	if len(l.completedReleases) == maxCompletedReleases {
		l.completedReleases = l.completedReleases[1:]
	}
	l.completedReleases = append(l.completedReleases, r)
}

// TakeCompletedReleases returns the ranges that were freed since the last call. They are
// meant for log lines.
func (l *Leader) TakeCompletedReleases() []CompletedRelease {
	releases := l.completedReleases
	l.completedReleases = nil
	return releases
}
