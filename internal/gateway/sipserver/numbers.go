package sipserver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/miekg/dns"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cobaltpier/api"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/decision/tableversions"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/gateway/tablestore"
	"cobaltpier/internal/protocol/dnsclient"
	"cobaltpier/internal/protocol/portability"
)

// numberService runs number analysis for the gateway: the DNS client's sockets, the table store and table changes. Only
// the event loop may use its state; slow work runs in goroutines, which return results as events.
type numberService struct {
	server       *Server
	config       *gatewayconfig.NumberAnalysis
	names        numberplan.Names
	store        *tablestore.Store
	keeper       *tableversions.Keeper
	initialTable *numberplan.Table
	client       *dnsclient.Client
	finder       *portability.Finder
	sockets      *reactor.UDPSockets
	ports        []netip.AddrPort
}

// openNumbers selects the table to run and opens the DNS client's sockets.
func (s *Server) openNumbers() (*numberService, error) {
	n := &numberService{server: s, config: &s.config.Numbers, names: s.config.Names()}
	err := n.openTable()
	if err == nil && n.config.LookupDomain != "" {
		err = n.openDNS()
	}
	if err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// openTable selects the table to run: the latest usable one in the store, or else the one that the configuration
// names.
func (n *numberService) openTable() error {
	var history tableversions.History
	if n.config.StoreFile != "" {
		var err error
		if history, err = n.recoverTable(); err != nil {
			return err
		}
	}
	if n.initialTable == nil && n.config.TableFile != "" {
		var err error
		if history, err = n.loadTable(history); err != nil {
			return err
		}
	}
	if n.initialTable == nil {
		return errors.New("numbers: the store has no usable table and the configuration names none")
	}
	n.keeper = tableversions.New(n, n.initialTable, history)
	table := n.initialTable
	n.server.log.Info().Str("table", table.Name).Uint64("version", table.Version).
		Str("checksum", table.Sum[:loggedChecksumDigits]).Int("rules", table.Size()).Msg("number table")
	return nil
}

// loggedChecksumDigits is the number of digits of a table's checksum in the log.
const loggedChecksumDigits = 16

// recoverTable opens the store and takes the latest usable table from it, if there is one.
func (n *numberService) recoverTable() (tableversions.History, error) {
	store, err := tablestore.Open(n.config.StoreFile)
	if err != nil {
		return tableversions.History{}, err
	}
	n.store = store
	history, err := store.History()
	if err != nil {
		return history, err
	}
	var problems []error
	n.initialTable, history, problems = history.Recover(store.Form, n.names)
	for _, problem := range problems {
		n.server.log.Error().Err(problem).Msg("stored number table not used")
	}
	return history, nil
}

// loadTable reads the table file that the configuration names, and stores it if there is a store.
func (n *numberService) loadTable(history tableversions.History) (tableversions.History, error) {
	table, form, err := tablestore.Load(n.config.TableFile)
	if err != nil {
		return history, err
	}
	if err := table.Fits(n.names); err != nil {
		return history, err
	}
	n.initialTable = table
	if n.store == nil {
		return history, nil
	}
	packed, err := numberplan.Pack(form)
	if err != nil {
		return history, err
	}
	checked := tableversions.Checked{Table: table, Form: packed}
	serial, err := n.store.Keep(checked, "from "+n.config.TableFile, 0, history, time.Now())
	if err != nil {
		return history, err
	}
	return history.Activate(serial), nil
}

// openDNS opens the DNS client's sockets.
func (n *numberService) openDNS() error {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return fmt.Errorf("numbers: random seed for the DNS client: %w", err)
	}
	config := n.config.DNS
	config.Seed = binary.LittleEndian.Uint64(seed[:])
	addresses := make([]netip.AddrPort, config.Ports)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(n.server.config.Address.Addr(), 0)
	}
	ready := make(chan struct{})
	var err error
	n.sockets, err = reactor.ListenUDP(addresses, 1, func(local, from netip.AddrPort, data []byte) {
		<-ready
		select {
		case n.server.events <- event{kind: dnsResponse, from: from, local: local, data: data}:
		default: // the event queue is full: drop the response; the DNS client tries again after its timeout
		}
	})
	if err != nil {
		return fmt.Errorf("numbers: open DNS client sockets: %w", err)
	}
	n.ports = n.sockets.Local()
	close(ready)
	n.client = dnsclient.New(config, n)
	n.finder = &portability.Finder{Resolver: n.client, Apex: n.config.LookupDomain, Services: n.config.ENUMServices}
	return nil
}

func (n *numberService) close() {
	if n.sockets != nil {
		n.sockets.Close()
	}
	if n.store != nil {
		if err := n.store.Close(); err != nil {
			n.server.log.Error().Err(err).Msg("number tables")
		}
	}
}

// Resolve implements b2bua.Lookup.
func (n *numberService) Resolve(
	now float64,
	digits string,
	timeout float64,
	done func(float64, numberplan.LookupResult),
) func() {
	return n.finder.Resolve(now, digits, timeout, done)
}

// Wake implements b2bua.Lookup.
func (n *numberService) Wake(now float64) { n.client.Step(now) }

// NextWakeup implements b2bua.Lookup.
func (n *numberService) NextWakeup() float64 { return n.client.NextWakeup() }

// onDNSResponse hands a datagram to the DNS client, with the index of the port that received it.
func (n *numberService) onDNSResponse(now float64, e event) {
	for i, p := range n.ports {
		if p == e.local {
			n.client.Receive(now, i, e.from, e.data)
			return
		}
	}
}

// Query implements dnsclient.Transport.
func (n *numberService) Query(port int, to netip.AddrPort, data []byte) {
	n.sockets.Send(n.ports[port], to, data)
}

// Stream implements dnsclient.Transport (RFC 1035 4.2.2): truncated answers are rare, so each gets a goroutine.
func (n *numberService) Stream(token uint64, to netip.AddrPort, data []byte, timeout float64) {
	go func() {
		b, err := exchangeTCP(to, data, time.Duration(timeout*1e6))
		if err != nil {
			n.server.log.Debug().Err(err).Stringer("server", to).Msg("DNS query over TCP failed")
			b = nil
		}
		n.server.enqueue(event{kind: callback, do: func(now float64) { n.client.OnStreamResponse(now, token, b) }})
	}()
}

func exchangeTCP(to netip.AddrPort, data []byte, timeout time.Duration) ([]byte, error) {
	c, err := dns.DialTimeout("tcp", to.String(), timeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if _, err := c.Write(data); err != nil {
		return nil, err
	}
	b := make([]byte, dns.MaxMsgSize)
	n, err := c.Read(b)
	return b[:n], err
}

// Check implements tableversions.Work. It runs outside the loop, since a large table takes longer than a tick.
func (n *numberService) Check(s tableversions.Source) {
	go func() {
		var c tableversions.Checked
		form := s.Form
		if form == nil {
			form, c.Err = n.store.Form(s.Serial)
		}
		if c.Err == nil {
			c = tableversions.Check(form, n.names)
		}
		n.server.enqueue(event{kind: callback, do: func(float64) { n.keeper.Checked(c) }})
	}()
}

// Keep implements tableversions.Driver.
func (n *numberService) Keep(c tableversions.Checked, note string, serial uint64, history tableversions.History) {
	if n.store == nil {
		n.keeper.Kept(n.keeper.History.Running+1, nil)
		return
	}
	go func() {
		kept, err := n.store.Keep(c, note, serial, history, time.Now())
		n.server.enqueue(event{kind: callback, do: func(float64) { n.keeper.Kept(kept, err) }})
	}()
}

// Swap implements tableversions.Work.
func (n *numberService) Swap(t *numberplan.Table) {
	n.server.agent.SetTable(t)
	n.server.log.Info().Str("table", t.Name).Uint64("version", t.Version).Str("sum", t.Sum[:16]).Int("rules", t.Size()).
		Msg("number table changed")
}

// admin is the gRPC service for number tables.
type admin struct {
	api.UnimplementedNumbersServer
	numbers *numberService
	ctx     context.Context // ends with the gateway
}

// runInLoop runs do in the event loop and waits until do calls done.
func (a *admin) runInLoop(ctx context.Context, do func(done func(error))) error {
	result := make(chan error, 1)
	select {
	case a.numbers.server.events <- event{kind: callback, do: func(float64) { do(func(err error) { result <- err }) }}:
	case <-ctx.Done():
		return ctx.Err()
	case <-a.ctx.Done():
		return status.Error(codes.Unavailable, "the gateway is shutting down")
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-a.ctx.Done():
		return status.Error(codes.Unavailable, "the gateway is shutting down")
	}
}

// Put implements api.NumbersServer.
func (a *admin) Put(ctx context.Context, req *api.PutTable) (*api.TableState, error) {
	if err := a.runInLoop(ctx, func(done func(error)) {
		a.numbers.keeper.Put(req.Table, req.Note, done)
	}); err != nil {
		return nil, statusError(err)
	}
	return a.state(ctx)
}

// Back implements api.NumbersServer.
func (a *admin) Back(ctx context.Context, _ *api.BackRequest) (*api.TableState, error) {
	if a.numbers.store == nil {
		return nil, status.Error(codes.FailedPrecondition, "numbers: no table store is configured to hold earlier tables")
	}
	if err := a.runInLoop(ctx, func(done func(error)) { a.numbers.keeper.Back(done) }); err != nil {
		return nil, statusError(err)
	}
	return a.state(ctx)
}

func statusError(err error) error {
	if status.Code(err) != codes.Unknown {
		return err
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

// Show implements api.NumbersServer.
func (a *admin) Show(ctx context.Context, _ *api.ShowRequest) (*api.TableState, error) {
	return a.state(ctx)
}

func (a *admin) state(ctx context.Context) (*api.TableState, error) {
	s := &api.TableState{}
	err := a.runInLoop(ctx, func(done func(error)) {
		keeper := a.numbers.keeper
		table := keeper.Running
		s.Running = &api.KeptTable{
			Serial:  keeper.History.Running,
			Name:    table.Name,
			Version: table.Version,
			Sum:     table.Sum,
			Rules:   int64(table.Size()),
		}
		oldTables, oldContacts := a.numbers.server.agent.OldTables()
		s.OldTables, s.OldContacts = int32(oldTables), int32(oldContacts)
		done(nil)
	})
	if err != nil {
		return nil, err
	}
	if a.numbers.store != nil {
		if s.Kept, err = a.numbers.store.List(); err != nil {
			return nil, status.Error(codes.DataLoss, err.Error())
		}
	}
	return s, nil
}

// Explain implements api.NumbersServer.
func (a *admin) Explain(ctx context.Context, req *api.ExplainRequest) (*api.Explained, error) {
	var t *numberplan.Table
	if err := a.runInLoop(ctx, func(done func(error)) { t = a.numbers.keeper.Running; done(nil) }); err != nil {
		return nil, err
	}
	at := time.Now()
	if req.AtUnix != 0 {
		at = time.Unix(req.AtUnix, 0)
	}
	return &api.Explained{
		Steps: t.Explain(numberplan.Call{Dialled: req.Number, At: at}, req.Ported, req.Silent),
		Sum:   t.Sum,
	}, nil
}

// serveAdmin starts the gRPC service for number tables, which runs until ctx ends.
func (n *numberService) serveAdmin(ctx context.Context, log zerolog.Logger) error {
	if n.config.AdminAddr == "" {
		return nil
	}
	lis, err := net.Listen("tcp", n.config.AdminAddr)
	if err != nil {
		return fmt.Errorf("numbers: admin: %w", err)
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(numberplan.MaxBytes))
	api.RegisterNumbersServer(s, &admin{numbers: n, ctx: ctx})
	go func() {
		<-ctx.Done()
		s.Stop()
	}()
	go func() {
		if err := s.Serve(lis); err != nil && ctx.Err() == nil {
			log.Error().Err(err).Msg("numbers: admin")
		}
	}()
	log.Info().Str("addr", lis.Addr().String()).Msg("number table service listening")
	return nil
}
