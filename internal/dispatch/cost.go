package dispatch

// PlanPart is a part of a plan that examines pairs of a step and a worker.
type PlanPart int

// Parts of a plan.
const (
	PartPlace     PlanPart = iota // workers that may run a step
	PartAdvise                    // workers to ask the advice service about
	PartPlaceable                 // whether any workers could ever run a step
	PartOpen                      // workers that are opened to starved steps
	PartExplain                   // what blocks a starved step
	planParts
)

var planPartNames = [planParts]string{"place", "advise", "placeable", "open", "explain"}

func (p PlanPart) String() string { return planPartNames[p] }

// PlanCost is what a plan had to do.
type PlanCost struct {
	Waiting int            // steps with waiting tasks
	Starved int            // those of them that are starved
	Pairs   [planParts]int // examined pairs of a step and a worker, by PlanPart
}

// TakePlanCost returns and clears what the plans since the last call had to do.
func (c *Core) TakePlanCost() PlanCost {
	cost := c.cost
	c.cost = PlanCost{}
	return cost
}

// countPairs adds to the pairs of a step and a worker that a part has examined.
func (c *Core) countPairs(part PlanPart, n int) { c.cost.Pairs[part] += n }
