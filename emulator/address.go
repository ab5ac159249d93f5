package emulator

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports that the system does not give to outgoing connections: one that is free now is not taken before it is opened.
const (
	firstPort = 10000
	portCount = 22000
	// portsPerProcess keeps test processes that run side by side apart.
	portsPerProcess = 211
)

var nextPort atomic.Int64

// FreeAddress returns an address of this machine that nothing listens on, and never the same twice.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portsPerProcess+nextPort.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", fmt.Errorf("no port from %d to %d is free", firstPort, firstPort+portCount)
}
