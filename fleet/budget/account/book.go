package account

import (
	"maps"
	"slices"

	"chutechute/internal/monotime"
)

// Lease is what is leased of one subject's budget.
type Lease struct {
	Subject string
	Amount  Amount
}

// Book is one front end's balances for all subjects of one budget.
type Book struct {
	Kind     Kind
	Window   monotime.Micros
	static   Amount
	accounts map[string]*Account
}

// Account is one subject's balance.
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

// Static puts the part into force that every subject has without a lease.
func (b *Book) Static(now monotime.Micros, m Amount) {
	b.static = m
	for _, a := range b.accounts {
		a.Static(now, m)
	}
}

// Lease puts all that is leased into force; what is not named is leased no more.
func (b *Book) Lease(now monotime.Micros, list []Lease, until monotime.Micros) {
	named := make(map[string]bool, len(list))
	for _, l := range list {
		named[l.Subject] = true
		b.Account(now, l.Subject).Lease(now, l.Amount, until)
	}
	for subject, a := range b.accounts {
		if !named[subject] {
			a.Lease(now, Amount{}, until)
		}
	}
}

// Each gives all balances, by subject.
func (b *Book) Each(do func(subject string, a *Account)) {
	for _, subject := range slices.Sorted(maps.Keys(b.accounts)) {
		do(subject, b.accounts[subject])
	}
}

// EvictIdle drops balances of which nothing is held, wanted or leased.
func (b *Book) EvictIdle(now monotime.Micros) {
	maps.DeleteFunc(b.accounts, func(subject string, a *Account) bool {
		lease, _, _ := a.Amounts(now)
		return subject != "" && lease == (Amount{}) && a.Used(now) == 0 && a.Demand(now) == 0
	})
}
