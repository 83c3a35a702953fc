package shape

import "bytes"

// valueList is the state of the list of values in IN (...) or ARRAY[...]. When it is closed, it is folded to one
// question mark if it contains nothing but values.
type valueList struct {
	open           bool // whether the current token is in a list that has contained only values so far
	closingBracket byte // the bracket that ends the list
	shapeStart     int  // length of Shape after the opening bracket
	valuesStart    int  // length of Values before the first value
	valueCount     int  // number of values in the list
}

// openList begins a list if the opening bracket that was just appended is that of IN (...) or ARRAY[...].
func (n *Normalizer) openList(bracket byte) {
	n.list = valueList{}
	if bracket == '(' && n.isWord(n.previous, "in") {
		n.list = valueList{open: true, closingBracket: ')', shapeStart: len(n.Shape), valuesStart: len(n.Values)}
	} else if bracket == '[' && n.isWord(n.previous, "array") {
		n.list = valueList{open: true, closingBracket: ']', shapeStart: len(n.Shape), valuesStart: len(n.Values)}
	}
}

// closeList ends a list before its closing bracket is appended. It folds the list if it has several values.
func (n *Normalizer) closeList(bracket byte) {
	if n.list.open && n.list.closingBracket == bracket && n.list.valueCount > 1 {
		n.Values[n.list.valuesStart].Count = len(n.Values) - n.list.valuesStart
		n.Values = n.Values[:n.list.valuesStart+1]
		n.Shape = append(n.Shape[:n.list.shapeStart], '?')
	}
	n.list.open = false
}

// valuesRows is the state of a VALUES list. A row that has the same shape as the row before it is removed.
type valuesRows struct {
	inside        bool // whether the current token is in a VALUES list
	depth         int  // number of open brackets in a row; 0 between rows
	start         int  // offset in Shape of the current row
	previousStart int  // offset in Shape of the last row that was kept
	previousEnd   int  // offset in Shape of the end of that row; 0 before the first
	valuesStart   int  // length of Values before the current row
}

// openRow counts an opening bracket in a VALUES list before it is appended. An outermost bracket begins a row.
func (n *Normalizer) openRow() {
	if !n.rows.inside {
		return
	}
	if n.rows.depth == 0 {
		n.RowCount++
		n.rows.start = len(n.Shape)
		n.rows.valuesStart = len(n.Values)
	}
	n.rows.depth++
}

// closeRow counts a closing bracket in a VALUES list after it was appended. An outermost bracket ends a row, and a
// bracket between rows ends the VALUES list.
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

// foldRow removes the row that has just ended if it has the same shape as the previous row.
func (n *Normalizer) foldRow() {
	rows := &n.rows
	row := n.Shape[rows.start:]
	if rows.previousEnd > 0 &&
		bytes.Equal(row, n.Shape[rows.previousStart:rows.previousEnd]) &&
		string(n.Shape[rows.previousEnd:rows.start]) == ", " {
		n.Shape, n.Values = n.Shape[:rows.previousEnd], n.Values[:rows.valuesStart]
		return
	}
	rows.previousStart, rows.previousEnd = rows.start, len(n.Shape)
}
