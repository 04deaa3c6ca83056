package msjob

import "strings"

// QueueID identifies a queue over all versions of the site. Callers know a queue by its host and path
// prefix, which select it. Its name is the operators' label, which a later version may change or give
// to another queue.
type QueueID struct {
	Name, Host, Prefix string
}

// Is reports whether both are the same queue. Records of versions that don't store host and prefix are
// told apart by name.
func (q QueueID) Is(o QueueID) bool {
	if q.known() && o.known() {
		return q.Host == o.Host && q.path() == o.path()
	}
	return q.Name == o.Name
}

// Key returns a name for what is learned of the queue.
func (q QueueID) Key() string {
	if !q.known() {
		return q.Name
	}
	return q.Host + q.path()
}

func (q QueueID) known() bool {
	return q.Host != "" || q.Prefix != ""
}

// path returns the prefix without the slash that may stand between it and the ID of a job.
func (q QueueID) path() string {
	return strings.TrimSuffix(q.Prefix, "/")
}

// QueueID returns the queue that accepted the job.
func (j *Job) QueueID() QueueID {
	return QueueID{Name: j.Queue, Host: j.Host, Prefix: j.Prefix}
}
