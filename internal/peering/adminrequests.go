package peering

import (
	"fmt"
	"strings"
)

// Requests on the admin socket.
const (
	requestStatus  = "status"
	requestRecords = "ledger"
	requestBudgets = "budgets" // all budgets, or one if followed by a space and its name or a rejected request's ID
)

// handleRequest returns the response to a request on the admin socket, to be encoded as JSON.
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
