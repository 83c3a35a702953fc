package budget

import "chutechute/internal/monotime"

// What tests need to know of commands and responses, and changes of them for variants that are broken on purpose.

// IsRelease reports whether a due command releases what an expired lease holder had in use.
func IsRelease(body []byte) bool { return isOperation(body, opRelease) }

// IsOpen reports whether a due command opens a budget.
func IsOpen(body []byte) bool { return isOperation(body, opOpen) }

// IsExpire reports whether a due command lets a lease expire.
func IsExpire(body []byte) bool { return isOperation(body, opExpire) }

func isOperation(body []byte, operation operation) bool {
	c, err := decodeCommand(body)
	return err == nil && c.Operation == operation
}

// ReportWithoutLease returns a report changed to say that nothing is leased, in demand or in use.
func ReportWithoutLease(body []byte) []byte {
	c, _ := decodeCommand(body)
	c.Grant, c.Demands = 0, nil
	return c.encode()
}

// ReportWithoutUse returns a report changed to say that nothing is in use.
func ReportWithoutUse(body []byte) []byte {
	c, _ := decodeCommand(body)
	for i := range c.Demands {
		c.Demands[i].InUse = 0
	}
	return c.encode()
}

// ResponseWithMore returns a response in which each leased amount is larger by another one.
func ResponseWithMore(body []byte, more func(budget string) Amount) []byte {
	r, err := decodeReportResponse(body)
	if err != nil {
		return body
	}
	for i := range r.Amounts {
		if granted := &r.Amounts[i]; !granted.Static {
			granted.Amount = granted.Amount.Add(more(granted.Budget))
		}
	}
	return r.encode()
}

// ResponseWithLongerLease returns a response with a lease that is longer by a time.
func ResponseWithLongerLease(body []byte, by monotime.Micros) []byte {
	r, err := decodeReportResponse(body)
	if err != nil {
		return body
	}
	r.Lease += by
	return r.encode()
}

// Reserved returns the sum of all static allocations.
func (s *Spec) Reserved() Amount { return thousandths(s.Total, s.StaticShare) }
