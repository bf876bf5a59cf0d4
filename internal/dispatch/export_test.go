package dispatch

// Slowness returns the slowness by which decisions rate a worker.
func (c *Core) Slowness(worker string) float64 { return c.workers[worker].slowness }
