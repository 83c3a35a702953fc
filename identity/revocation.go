package identity

// Revocations lists the tokens that are revoked although their signatures and times are valid.
type Revocations struct {
	IDs      map[string]bool // by issuer, a space and the token's id
	Subjects map[string]bool // by issuer, a space and the subject
}

// has reports whether the token with these claims is revoked.
func (r *Revocations) has(c *Claims) bool {
	return c.ID != "" && r.IDs[c.Issuer+" "+c.ID] || r.Subjects[c.Issuer+" "+c.Subject]
}

// SetRevocations replaces the list of revoked tokens. It holds from the next call on.
func (g *Guard) SetRevocations(r Revocations) { g.revocations = r }
