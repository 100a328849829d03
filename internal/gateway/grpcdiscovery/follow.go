// Package grpcdiscovery follows the endpoint list over a gRPC stream (api/list.proto). When a stream ends, it opens
// another from the latest version that it received. Meanwhile the gateway uses the old list.
package grpcdiscovery

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"cobaltpier/api"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/routing"
)

// The delay between streams doubles from initialBackoff up to maxBackoff. Each delay is shortened at random by up
// to half, so that the gateways that lost the same server do not all return at once.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Follow calls onUpdate for every update, in order, until ctx is done. It calls onState when a stream has delivered
// its first update and when it ends; onState may be nil.
func Follow(
	ctx context.Context,
	addr, gateway string,
	onUpdate func(*api.Update),
	onState func(up bool, err error),
) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}))
	if err != nil {
		return fmt.Errorf("endpoint list at %s: %w", addr, err)
	}
	defer conn.Close()
	client := api.NewPoolListClient(conn)
	var version uint64
	backoff := initialBackoff
	for ctx.Err() == nil {
		stream, err := client.Follow(ctx, &api.FollowRequest{Gateway: gateway, Have: version}, grpc.WaitForReady(true))
		for first := true; err == nil; first = false {
			var update *api.Update
			if update, err = stream.Recv(); err != nil {
				break
			}
			if first {
				backoff = initialBackoff
				if onState != nil {
					onState(true, nil)
				}
			}
			if !update.Whole && update.Version <= version {
				continue // received before
			}
			if !update.Whole && update.Version != version+1 { // an update is missing: request the whole list
				err = fmt.Errorf("update %d came after %d", update.Version, version)
				version = 0
				break
			}
			version = update.Version
			onUpdate(update)
		}
		if ctx.Err() != nil {
			break
		}
		if onState != nil {
			onState(false, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + time.Duration(rand.Int64N(int64(backoff/2)))):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// Entries converts an update to the entries of a gateway's endpoint list. receivedAt is when the update arrived, on
// the gateway's clock. Members without an ID, with an invalid address or with an unknown state are skipped.
func Entries(update *api.Update, receivedAt float64) []b2bua.ListEntry {
	var entries []b2bua.ListEntry
	for _, member := range update.Members {
		addr, err := netip.ParseAddrPort(member.Addr)
		if err != nil || member.Id == "" || member.State < api.State_GONE || member.State > api.State_DRAINING {
			continue
		}
		entry := b2bua.ListEntry{
			ID:            member.Id,
			DestinationID: int(member.Number),
			State:         statesByProto[member.State],
			Addr:          addr,
		}
		if member.AgeMs >= 0 && !math.IsInf(member.AgeMs, 1) {
			entry.StartedAt = math.Max(1e-3, receivedAt-member.AgeMs)
		}
		entries = append(entries, entry)
	}
	return entries
}

var statesByProto = map[api.State]routing.State{
	api.State_GONE:     routing.Gone,
	api.State_READY:    routing.Ready,
	api.State_DRAINING: routing.Draining,
}
