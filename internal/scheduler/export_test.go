package scheduler

import "time"

// SetConfirmLatency sets how long the latest confirmation took, until the next one.
func (s *Scheduler) SetConfirmLatency(d time.Duration) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.tenure.confirmLatency.Store(int64(d))
}
