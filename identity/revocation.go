package identity

// Revocations lists the tokens that are denied even though their signatures and times are valid.
type Revocations struct {
	IDs      map[string]bool // single tokens; the key is the issuer, a space and the token's ID
	Subjects map[string]bool // all tokens of a subject; the key is the issuer, a space and the subject
}

// includes reports whether a token with these claims is revoked.
func (r *Revocations) includes(c *Claims) bool {
	return c.ID != "" && r.IDs[c.Issuer+" "+c.ID] || r.Subjects[c.Issuer+" "+c.Subject]
}

// SetRevocations replaces the list of revoked tokens. It takes effect with the next request.
func (g *Guard) SetRevocations(r Revocations) { g.revocations = r }
