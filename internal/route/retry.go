package route

// A request earns a part of a retry, so that retries never exceed that part of
// the load beyond a burst.
const (
	retryPart  = 0.1
	retryBurst = 20.0
)

func (c *Core) earnRetry() { c.budget = min(retryBurst, c.budget+retryPart) }

// spendRetry takes one retry off the budget.
func (c *Core) spendRetry() bool {
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}
