package syntax

import (
	"fmt"

	"chutechute/statement/lex"
)

// Error is a syntax error with its position in the text.
type Error struct {
	Line, Column int // from 1; the column in bytes
	Message      string
}

// Error returns the position and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// NewError returns an error positioned at a byte offset of a text.
func NewError(text string, offset int, message string) *Error {
	line, column := lex.Position(text, offset)
	return &Error{line, column, message}
}
