package poison

// maxProven is the number of parts after which the older half of those that are remembered is forgotten.
const maxProven = 4096

// proven remembers parts to which an answer survived. It keeps two generations, so that parts in steady use stay, however
// many others come once.
type proven struct {
	current, previous map[Part]struct{}
}

func (pv *proven) add(part Part) {
	if _, known := pv.current[part]; known {
		return
	}
	if len(pv.current) >= maxProven || pv.current == nil {
		pv.previous, pv.current = pv.current, map[Part]struct{}{}
	}
	pv.current[part] = struct{}{}
}

func (pv *proven) has(part Part) bool {
	_, current := pv.current[part]
	_, previous := pv.previous[part]
	return current || previous
}

func (pv *proven) isEmpty() bool {
	return len(pv.current)+len(pv.previous) == 0
}
