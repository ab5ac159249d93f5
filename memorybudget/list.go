package memorybudget

// list holds connections in the order in which they were appended. A connection is in at most one list.
type list struct {
	first, last *Connection
}

func (ls *list) append(cn *Connection) {
	cn.list, cn.previous, cn.next = ls, ls.last, nil
	if ls.last == nil {
		ls.first = cn
	} else {
		ls.last.next = cn
	}
	ls.last = cn
}

// removeFromList removes a connection from its list, if it is in one.
func (cn *Connection) removeFromList() {
	if cn.list == nil {
		return
	}
	if cn.previous == nil {
		cn.list.first = cn.next
	} else {
		cn.previous.next = cn.next
	}
	if cn.next == nil {
		cn.list.last = cn.previous
	} else {
		cn.next.previous = cn.previous
	}
	cn.list, cn.previous, cn.next = nil, nil, nil
}
