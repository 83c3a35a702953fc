package shape

import (
	"strings"

	"chutechute/statement/lex"
)

// isWord reports whether a token is the given word, which is in lower case.
func (n *Normalizer) isWord(token lex.Token, word string) bool {
	if token.Kind != lex.Word || token.End-token.Start != len(word) {
		return false
	}
	for i := range len(word) {
		if n.Text[token.Start+i]|0x20 != word[i] {
			return false
		}
	}
	return true
}

// followsOperand reports whether the previous token ends an operand. If it does, a plus or minus after it is a binary
// operator and not a sign.
func (n *Normalizer) followsOperand() bool {
	switch n.previous.Kind {
	case lex.QuotedIdentifier, lex.String, lex.Number, lex.Parameter:
		return true
	case lex.Operator:
		c := n.Text[n.previous.End-1]
		return c == ')' || c == ']'
	case lex.Word:
		var buffer [maxWordBeforeOperand]byte
		if n.previous.End-n.previous.Start > len(buffer) {
			return true
		}
		return !wordsBeforeOperand[string(appendLower(buffer[:0], n.Text[n.previous.Start:n.previous.End]))]
	}
	return false
}

// maxWordBeforeOperand is an upper bound, in bytes, of the length of the words in wordsBeforeOperand.
const maxWordBeforeOperand = 16

// wordsBeforeOperand are the words that are followed by an operand.
var wordsBeforeOperand = func() map[string]bool {
	words := map[string]bool{}
	for word := range strings.FieldsSeq(`select where and or not on when then else case between in like ilike limit
		offset values set by having return returning distinct all any some default from interval to using fetch first
		next escape collate only as is with top call symmetric asymmetric for placing rows range groups xor div mod
		overlaps zone similar regexp rlike variadic separator qualify`) {
		words[word] = true
	}
	return words
}()

// appendSpace appends the space that precedes a token in the shape. There is none after an opening bracket, around a
// dot or before a semicolon.
func (n *Normalizer) appendSpace(token lex.Token) {
	if len(n.Shape) == 0 {
		return
	}
	last := n.Shape[len(n.Shape)-1]
	next := n.Text[token.Start]
	if token.Kind == lex.Operator && token.End == token.Start+1 && (next == ';' || next == '.') {
		return
	}
	if n.previous.Kind == lex.Operator && (last == '(' || last == '[' || last == '.') {
		return
	}
	n.Shape = append(n.Shape, ' ')
}
