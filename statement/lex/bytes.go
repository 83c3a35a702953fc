package lex

import (
	"strings"
	"unicode/utf8"
)

// byteClass groups bytes by the kind of token that they can begin.
type byteClass uint8

const (
	classOther byteClass = iota
	classSpace
	classLetter
	classDigit
	classOperator
	classPunctuation
)

// byteClasses maps each byte to its class.
var byteClasses = func() (t [256]byteClass) {
	for c := range 256 {
		switch b := byte(c); {
		case b <= ' ':
			t[c] = classSpace
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '_', b >= utf8.RuneSelf:
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

// isLetterOrDigit reports whether a byte may occur within a word. All bytes of multi-byte characters count as letters.
func isLetterOrDigit(c byte) bool {
	class := byteClasses[c]
	return class == classLetter || class == classDigit
}
