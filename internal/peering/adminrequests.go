package peering

import (
	"fmt"
	"strings"
)

// Requests on the admin socket.
const (
	requestStatus  = "status"
	requestRecords = "ledger"
	requestBudgets = "budgets" // of all budgets; followed by a space and a name of one, or of a rejected request
)

// handleRequest returns the page that a request on the admin socket asks for.
func (p *Peering) handleRequest(request string) any {
	switch request {
	case requestStatus:
		return p.status()
	case requestRecords:
		return ReplicatedRecords{p.status(), p.replicatedRecords(), p.idempotencyClient.Records()}
	case requestBudgets:
		return p.budgetPage("")
	}
	if name, ok := strings.CutPrefix(request, requestBudgets+" "); ok {
		return p.budgetPage(name)
	}
	return map[string]string{"error": fmt.Sprintf("%q is no question", request)}
}
