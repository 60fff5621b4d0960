package admission

import "time"

// memoryLimit is the Constraint that keeps the tokens of all running requests within the memory of an engine. An engine that
// runs out of memory interrupts requests or ends.
type memoryLimit struct {
	capacity int // tokens; 0 if unknown, which admits all
	held     map[uint64]int
	used     int
}

var _ Constraint = (*memoryLimit)(nil)

func newMemoryLimit() *memoryLimit { return &memoryLimit{held: make(map[uint64]int)} }

// tokensOf returns the most tokens that the request holds at its end.
func tokensOf(demand Demand) int { return demand.PromptTokens + demand.AnswerTokens }

// Admits implements Constraint.
func (m *memoryLimit) Admits(demand Demand, _ time.Duration) bool {
	return m.capacity == 0 || m.used+tokensOf(demand) <= m.capacity
}

// CanEverAdmit implements Constraint.
func (m *memoryLimit) CanEverAdmit(demand Demand) bool {
	return m.capacity == 0 || tokensOf(demand) <= m.capacity
}

// Begin implements Constraint.
func (m *memoryLimit) Begin(id uint64, demand Demand, _ time.Duration) {
	m.held[id] = tokensOf(demand)
	m.used += m.held[id]
}

// FirstEvent implements Constraint. The memory of the prompt stays in use.
func (m *memoryLimit) FirstEvent(uint64, time.Duration) {}

// End implements Constraint.
func (m *memoryLimit) End(id uint64) {
	m.used -= m.held[id]
	delete(m.held, id)
}
