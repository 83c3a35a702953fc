package account

import (
	"maps"
	"slices"

	"chutechute/internal/monotime"
)

// Lease is the leased amount of one subject's budget.
type Lease struct {
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
		a.Static(now, b.static)
		b.accounts[subject] = a
	}
	return a
}

// Static sets the amount that every subject has without a lease.
func (b *Book) Static(now monotime.Micros, amount Amount) {
	b.static = amount
	for _, a := range b.accounts {
		a.Static(now, amount)
	}
}

// Lease sets the leases of all subjects. A subject that is not in the list has nothing leased any more.
func (b *Book) Lease(now monotime.Micros, leases []Lease, until monotime.Micros) {
	leased := make(map[string]bool, len(leases))
	for _, lease := range leases {
		leased[lease.Subject] = true
		b.Account(now, lease.Subject).Lease(now, lease.Amount, until)
	}
	for subject, a := range b.accounts {
		if !leased[subject] {
			a.Lease(now, Amount{}, until)
		}
	}
}

// Each calls a function for all accounts, in the order of their subjects.
func (b *Book) Each(do func(subject string, a *Account)) {
	for _, subject := range slices.Sorted(maps.Keys(b.accounts)) {
		do(subject, b.accounts[subject])
	}
}

// EvictIdle drops the accounts of which nothing is in use, leased or in demand. That of the empty subject stays.
func (b *Book) EvictIdle(now monotime.Micros) {
	maps.DeleteFunc(b.accounts, func(subject string, a *Account) bool {
		lease, _, _ := a.Amounts(now)
		return subject != "" && lease == (Amount{}) && a.Used(now) == 0 && a.Demand(now) == 0
	})
}
