package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"github.com/turmericdoor/turmericdoor/resetguard"
	"github.com/turmericdoor/turmericdoor/schema/wire"
)

// Connect connects to an upstream for another instance and passes on the bytes of both sides until one of them ends.
func (rl *Relay) Connect(stream grpc.BidiStreamingServer[wire.RelayData, wire.RelayData]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if rl.isStopping.Load() || rl.IsCutOff() || !rl.IsUpstream(first.GetAddress()) {
		return stream.Send(&wire.RelayData{State: wire.RelayState_RelayUnavailable})
	}
	if rl.IsEvacuated(first.GetAddress()) {
		// The other instance may not know it yet. The upstream has not ended, and this instance helps with others.
		return stream.Send(&wire.RelayData{State: wire.RelayState_RelayUnreachable})
	}
	upstream, err := rl.Dial(stream.Context(), first.GetAddress())
	if err != nil {
		return stream.Send(&wire.RelayData{State: rl.failureState(err)})
	}
	rl.record(func(now time.Time) { rl.tracker.Connected(now, first.GetAddress()) })
	ended := make(chan struct{})
	rl.served.Go(func() { <-ended })
	defer close(ended)
	defer upstream.Close()
	if err := stream.Send(&wire.RelayData{State: wire.RelayState_RelayConnected}); err != nil {
		return err
	}
	guarded := resetguard.New(upstream)
	go passToUpstream(stream, guarded)
	return passFromUpstream(stream, guarded)
}

// failureState returns what to tell another instance of a connection that failed here. Without a connection of its own just now,
// this instance may be the one that is cut off.
func (rl *Relay) failureState(err error) wire.RelayState {
	rl.mu.Lock()
	isReliable := rl.tracker.HasConnected(rl.Timers.Now())
	rl.mu.Unlock()
	switch {
	case !isReliable:
		return wire.RelayState_RelayUnavailable
	case errors.Is(err, syscall.ECONNREFUSED):
		return wire.RelayState_RelayRefused
	}
	return wire.RelayState_RelayUnreachable
}

// passToUpstream writes what the other instance sends, until its stream or the connection ends; it closes the connection then.
func passToUpstream(stream grpc.BidiStreamingServer[wire.RelayData, wire.RelayData], upstream net.Conn) {
	defer upstream.Close()
	for {
		message, err := stream.Recv()
		if err != nil {
			return
		}
		if _, err := upstream.Write(message.GetData()); err != nil {
			return
		}
	}
}

// passFromUpstream sends what the upstream writes to the other instance, and how the connection has ended.
func passFromUpstream(stream grpc.BidiStreamingServer[wire.RelayData, wire.RelayData], upstream net.Conn) error {
	buffer := make([]byte, maxChunk)
	for {
		count, err := upstream.Read(buffer)
		if count > 0 {
			if err := stream.Send(&wire.RelayData{Data: buffer[:count]}); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return stream.Send(&wire.RelayData{State: wire.RelayState_RelayEnded})
		default:
			return stream.Send(&wire.RelayData{State: wire.RelayState_RelayReset})
		}
	}
}

// Refuse accepts no more connections for other instances from now on; they ask another instance.
func (rl *Relay) Refuse() {
	rl.isStopping.Store(true)
}

// Drain accepts no more connections for other instances, and waits until those that there are have ended or ctx ends.
func (rl *Relay) Drain(ctx context.Context) {
	rl.Refuse()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rl.served.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
