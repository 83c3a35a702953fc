package budget

import "chutechute/internal/monotime"

// The functions in this file give the external tests access to commands and responses, and modify them for mutations.

// IsRelease reports whether an encoded command releases what an expired lease holder had in use.
func IsRelease(body []byte) bool { return isOperation(body, opRelease) }

// IsOpen reports whether an encoded command opens a budget.
func IsOpen(body []byte) bool { return isOperation(body, opOpen) }

// IsExpire reports whether an encoded command expires a lease.
func IsExpire(body []byte) bool { return isOperation(body, opExpire) }

func isOperation(body []byte, operation operation) bool {
	c, err := decodeCommand(body)
	return err == nil && c.Operation == operation
}

// ReportWithoutLease returns a copy of a report that states no lease, no demand and nothing in use.
func ReportWithoutLease(body []byte) []byte {
	c, _ := decodeCommand(body)
	c.Grant, c.Demands = 0, nil
	return c.encode()
}

// ReportWithoutUse returns a copy of a report that states that nothing is in use.
func ReportWithoutUse(body []byte) []byte {
	c, _ := decodeCommand(body)
	for i := range c.Demands {
		c.Demands[i].InUse = 0
	}
	return c.encode()
}

// ResponseWithLargerLeases returns a copy of a response in which each leased amount is increased by the extra amount of
// its budget.
func ResponseWithLargerLeases(body []byte, extra func(budget string) Amount) []byte {
	r, err := decodeReportResponse(body)
	if err != nil {
		return body
	}
	for i := range r.Amounts {
		if granted := &r.Amounts[i]; !granted.Static {
			granted.Amount = granted.Amount.Add(extra(granted.Budget))
		}
	}
	return r.encode()
}

// ResponseWithLongerLease returns a copy of a response with a lease that is extended.
func ResponseWithLongerLease(body []byte, extension monotime.Micros) []byte {
	r, err := decodeReportResponse(body)
	if err != nil {
		return body
	}
	r.Lease += extension
	return r.encode()
}

// Reserved returns the sum of all static allocations of a budget.
func (s *Spec) Reserved() Amount { return thousandths(s.Total, s.StaticShare) }
