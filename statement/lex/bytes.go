package lex

import "strings"

// byteClass classifies a byte by the tokens that begin with it.
type byteClass uint8

const (
	classOther byteClass = iota
	classSpace
	classLetter
	classDigit
	classOperator
	classPunctuation
)

// byteClasses is the class of each byte.
var byteClasses = func() (t [256]byteClass) {
	for c := range 256 {
		switch b := byte(c); {
		case b <= ' ':
			t[c] = classSpace
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '_', b >= 0x80:
			t[c] = classLetter
		case b >= '0' && b <= '9':
			t[c] = classDigit
		case strings.IndexByte("+-*/<>=~!@#%^&|", b) >= 0:
			t[c] = classOperator
		case strings.IndexByte("()[]{},;.", b) >= 0:
			t[c] = classPunctuation
		}
	}
	return t
}()
