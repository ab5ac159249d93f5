package listener

import (
	"fmt"
	"net"
)

// Address is an address to listen on, with the name of its setting.
type Address struct {
	Setting string
	Address string
}

// OpenAll opens a listener on each address, in their order. If one can't be opened, it closes the others and returns an
// error that names the setting.
func OpenAll(addresses ...Address) ([]net.Listener, error) {
	opened := []net.Listener{}
	for _, each := range addresses {
		next, err := net.Listen("tcp", each.Address)
		if err != nil {
			closeAll(opened)
			return nil, fmt.Errorf("listen on %s: %w", each.Setting, err)
		}
		opened = append(opened, next)
	}
	return opened, nil
}

func closeAll(opened []net.Listener) {
	for _, each := range opened {
		_ = each.Close()
	}
}
