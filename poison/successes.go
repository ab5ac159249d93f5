package poison

// maxSuccesses is the size of a generation, in parts.
const maxSuccesses = 4096

// successes remembers parts to which an answer survived. It keeps two generations, so that parts in steady use stay, however
// many others come once.
type successes struct {
	current, previous map[Part]struct{}
}

func (sc *successes) add(part Part) {
	if _, known := sc.current[part]; known {
		return
	}
	if len(sc.current) >= maxSuccesses || sc.current == nil {
		sc.previous, sc.current = sc.current, map[Part]struct{}{}
	}
	sc.current[part] = struct{}{}
}

func (sc *successes) has(part Part) bool {
	_, current := sc.current[part]
	_, previous := sc.previous[part]
	return current || previous
}

func (sc *successes) isEmpty() bool {
	return len(sc.current)+len(sc.previous) == 0
}
