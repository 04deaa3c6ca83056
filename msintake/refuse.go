package msintake

import (
	"time"

	"marjoramspan/msjob"
)

// incompleteRetryAfter is the Retry-After of a job that was refused before it had arrived as a
// whole; those that use the room up are cut within seconds.
const incompleteRetryAfter = time.Second

// Refuse returns the answer for a job that is refused for a reason before it has arrived as a
// whole, although it could be valid. It is nil if an earlier request with the job was accepted,
// and of kind OutcomeUnknown if one may have been. It reads nothing from the log, so that callers
// who don't finish their requests don't decide how often the log is read.
func (in *Intake) Refuse(id, reason string, arrived time.Time) error {
	if _, ok := in.Jobs.Job(id); ok {
		return nil
	}
	if in.unsettled.has(id, in.Clock.Now()) || in.jobsAsOf(id).Before(arrived) {
		return &Error{Kind: OutcomeUnknown, Reason: reason + "; an earlier request may have been accepted", RetryAfter: incompleteRetryAfter}
	}
	return &Error{Kind: Overloaded, Reason: reason, RetryAfter: incompleteRetryAfter}
}

// jobsAsOf returns the time up to which the table has all records of a job.
func (in *Intake) jobsAsOf(id string) time.Time {
	asOf := in.Journal.CurrentAsOf()
	n := msjob.AdditionalStream(id)
	if in.Streams == nil || !in.Jobs.StreamsInUse().Has(n) {
		return asOf
	}
	if own := in.Streams.Journals[n-1].CurrentAsOf(); own.Before(asOf) {
		return own
	}
	return asOf
}
