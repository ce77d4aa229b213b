package guard

import "sync"

const (
	// smallJob is the size of a job's state, in bytes, up to which it counts as small.
	smallJob = 64 << 10
	// A workspace may hold at most smallFactor or largeFactor times what it leaves to all others, so that neither one
	// workspace shuts out the others nor large jobs shut out small ones.
	smallFactor = 8
	largeFactor = 1
)

// Shares bounds the memory for the jobs that a node knows and for those that are being accepted, and divides it among
// workspaces. Any goroutine may use it; it must not be copied.
type Shares struct {
	// Limit is the bound in bytes; 0 means that there is none.
	Limit int64

	mu sync.Mutex
	// total and spaces are guarded by mu: the bytes in use, in all and by workspace.
	total  int64
	spaces map[string]int64
}

// Reserve adds n bytes to what a workspace uses, unless that is too much for it.
func (s *Shares) Reserve(workspace string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := int64(largeFactor)
	if n <= smallJob {
		factor = smallFactor
	}
	if left := s.Limit - s.total - n; s.Limit > 0 && s.spaces[workspace]+n > factor*left {
		return false
	}
	s.changeLocked(workspace, n)
	return true
}

// Change adds n bytes, which may be negative, to what a workspace uses, whatever the limit.
func (s *Shares) Change(workspace string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLocked(workspace, n)
}

// changeLocked is Change for a caller that holds mu.
func (s *Shares) changeLocked(workspace string, n int64) {
	if s.spaces == nil {
		s.spaces = map[string]int64{}
	}
	s.total += n
	if s.spaces[workspace] += n; s.spaces[workspace] == 0 {
		delete(s.spaces, workspace)
	}
}

// Used returns the bytes in use.
func (s *Shares) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Left returns the bytes that are left; it is negative if too many are in use.
func (s *Shares) Left() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Limit - s.total
}
