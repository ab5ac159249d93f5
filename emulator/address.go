package emulator

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The range lies below the ephemeral ports of Linux, so no outgoing connection can occupy a free port
// before the caller listens on it.
const (
	firstPort = 10000
	portCount = 22000
	// portsPerProcess separates the ports of test processes that run in parallel.
	portsPerProcess = 211
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address with a port that nothing listens on. One process gets each address
// at most once, until all ports of the range have been tried.
func FreeAddress() (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*portsPerProcess+nextPort.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return listener.Addr().String(), listener.Close()
	}
	return "", fmt.Errorf("find a free port on 127.0.0.1: every port from %d to %d is in use", firstPort, firstPort+portCount)
}
