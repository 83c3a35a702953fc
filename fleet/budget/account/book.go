package account

import (
	"maps"
	"slices"

	"chutechute/internal/monotime"
)

// SubjectLease is the leased amount of one subject's budget.
type SubjectLease struct {
	Subject string
	Amount  Amount
}

// Book is one front end's accounts for all subjects of one budget. The zero Book with its Kind and, for a Window
// budget, its Window set is empty and ready to use.
type Book struct {
	Kind     Kind
	Window   monotime.Micros
	static   Amount // of each subject
	accounts map[string]*Account
}

// Account returns a subject's account, and opens one with the static amount if there is none.
func (b *Book) Account(now monotime.Micros, subject string) *Account {
	a := b.accounts[subject]
	if a == nil {
		if b.accounts == nil {
			b.accounts = map[string]*Account{}
		}
		a = New(b.Kind, b.Window)
		a.SetStatic(now, b.static)
		b.accounts[subject] = a
	}
	return a
}

// SetStatic sets the amount that every subject has without a lease.
func (b *Book) SetStatic(now monotime.Micros, amount Amount) {
	b.static = amount
	for _, a := range b.accounts {
		a.SetStatic(now, amount)
	}
}

// SetLeases sets the leases of all subjects. A subject that is not in the list has nothing leased any more.
func (b *Book) SetLeases(now monotime.Micros, leases []SubjectLease, until monotime.Micros) {
	leased := make(map[string]bool, len(leases))
	for _, lease := range leases {
		leased[lease.Subject] = true
		b.Account(now, lease.Subject).SetLease(now, lease.Amount, until)
	}
	for subject, a := range b.accounts {
		if !leased[subject] {
			a.SetLease(now, Amount{}, until)
		}
	}
}

// ForEach calls a function for all accounts, in the order of their subjects.
func (b *Book) ForEach(do func(subject string, a *Account)) {
	for _, subject := range slices.Sorted(maps.Keys(b.accounts)) {
		do(subject, b.accounts[subject])
	}
}

// EvictIdle drops the accounts of which nothing is in use, leased or in demand. That of the empty subject stays.
func (b *Book) EvictIdle(now monotime.Micros) {
	maps.DeleteFunc(b.accounts, func(subject string, a *Account) bool {
		lease, _, _ := a.Amounts(now)
		return subject != "" && lease == (Amount{}) && a.TotalInUse(now) == 0 && a.Demand(now) == 0
	})
}
