package shape

import "bytes"

// valueList is a list of values in IN (...) or ARRAY[...] that is still open. It is folded to one question mark if it
// holds nothing but values.
type valueList struct {
	open        bool
	close       byte // the bracket that closes it
	shapeLength int  // length of Shape behind the opening bracket
	valueCount  int  // length of Values there
	length      int  // the number of values in it
}

// openList begins a list behind the opening bracket just appended, if a list of values follows.
func (n *Normalizer) openList(bracket byte) {
	n.list = valueList{}
	if bracket == '(' && n.isWord(n.previous, "in") {
		n.list = valueList{open: true, close: ')', shapeLength: len(n.Shape), valueCount: len(n.Values)}
	} else if bracket == '[' && n.isWord(n.previous, "array") {
		n.list = valueList{open: true, close: ']', shapeLength: len(n.Shape), valueCount: len(n.Values)}
	}
}

// closeList ends a list before its closing bracket is appended, and folds one of several values.
func (n *Normalizer) closeList(bracket byte) {
	if n.list.open && n.list.close == bracket && n.list.length > 1 {
		n.Values[n.list.valueCount].Count = len(n.Values) - n.list.valueCount
		n.Values = n.Values[:n.list.valueCount+1]
		n.Shape = append(n.Shape[:n.list.shapeLength], '?')
	}
	n.list.open = false
}

// valuesRows is the state of a VALUES list. A row of the same shape as the row before it is left out.
type valuesRows struct {
	inside        bool // whether the current token is within VALUES
	depth         int  // of brackets within a row; 0 between rows
	start         int  // offset in Shape of the current row
	previousStart int  // offset in Shape of the last row that was not left out
	previousEnd   int  // offset in Shape of the end of that row; 0 before the first
	valueCount    int  // length of Values before the current row
}

// openRow counts an opening bracket that is about to be appended: the first begins a row.
func (n *Normalizer) openRow() {
	if !n.rows.inside {
		return
	}
	if n.rows.depth == 0 {
		n.RowCount++
		n.rows.start = len(n.Shape)
		n.rows.valueCount = len(n.Values)
	}
	n.rows.depth++
}

// closeRow counts a closing bracket that was appended: the last ends a row, and one between rows ends the VALUES list.
func (n *Normalizer) closeRow() {
	if !n.rows.inside || n.rows.depth == 0 {
		n.rows.inside = false
		return
	}
	n.rows.depth--
	if n.rows.depth == 0 {
		n.foldRow()
	}
}

// foldRow removes the row that has just ended if it has the shape of the row before it.
func (n *Normalizer) foldRow() {
	rows := &n.rows
	row := n.Shape[rows.start:]
	if rows.previousEnd > 0 &&
		bytes.Equal(row, n.Shape[rows.previousStart:rows.previousEnd]) &&
		string(n.Shape[rows.previousEnd:rows.start]) == ", " {
		n.Shape, n.Values = n.Shape[:rows.previousEnd], n.Values[:rows.valueCount]
		return
	}
	rows.previousStart, rows.previousEnd = rows.start, len(n.Shape)
}
