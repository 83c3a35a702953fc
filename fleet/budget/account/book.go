package account

import (
	"maps"
	"slices"

	"chutechute/internal/monotime"
)

// SubjectLease is the amount that is leased for one subject.
type SubjectLease struct {
	Subject string
	Amount  Amount
}

// Book holds one front end's accounts for all subjects of one budget. A Book with its Kind set, and for a Window budget
// its Window, is ready to use.
type Book struct {
	Kind     Kind
	Window   monotime.Micros
	static   Amount // the static amount of each subject
	accounts map[string]*Account
}

// Account returns a subject's account. If there is none, it creates one with the static amount.
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

// SetStatic sets the amount that can be spent for each subject without a lease.
func (b *Book) SetStatic(now monotime.Micros, amount Amount) {
	b.static = amount
	for _, a := range b.accounts {
		a.SetStatic(now, amount)
	}
}

// SetLeases sets the leased amounts of all subjects, which is zero for those that are not in the list.
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

// ForEach calls do for all accounts, in the order of their subjects.
func (b *Book) ForEach(do func(subject string, a *Account)) {
	for _, subject := range slices.Sorted(maps.Keys(b.accounts)) {
		do(subject, b.accounts[subject])
	}
}

// EvictIdle removes accounts with nothing leased or in use and without demand. The account of the empty subject stays.
func (b *Book) EvictIdle(now monotime.Micros) {
	maps.DeleteFunc(b.accounts, func(subject string, a *Account) bool {
		lease, _, _ := a.Amounts(now)
		return subject != "" && lease == (Amount{}) && a.TotalInUse(now) == 0 && a.Demand(now) == 0
	})
}
