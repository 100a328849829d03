package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// entry is one core switch of the list.
type entry struct {
	id, addr string
	group    int
	draining bool
	bootMS   int64
}

// nameServer is a stand-in for the name server: DNS over UDP, the whole list in each answer.
type nameServer struct {
	rec       *record
	conn      *net.UDPConn
	mu        sync.Mutex
	serial    uint32
	list      []entry
	delay     time.Duration // from a query to its answer; the answer holds the list of when it is sent
	silent    bool
	firstSent map[uint32]time.Time // when the first answer with a serial was sent
	answers   int
}

func newNameServer(rec *record, serial uint32, list []entry) (*nameServer, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &nameServer{rec: rec, conn: conn, serial: serial, list: list, firstSent: map[uint32]time.Time{}}
	go n.serve()
	return n, nil
}

func (n *nameServer) addr() string { return n.conn.LocalAddr().String() }

// change puts the next event into the list.
func (n *nameServer) change(list []entry) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	n.list = list
	n.rec.printf("the list changes, number %d: %+v", n.serial, list)
	return n.serial
}

func (n *nameServer) told(serial uint32) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.firstSent[serial]
	return at, ok
}

func (n *nameServer) serve() {
	buffer := make([]byte, 4096)
	for {
		size, from, err := n.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		query := append([]byte(nil), buffer[:size]...)
		n.mu.Lock()
		delay, silent := n.delay, n.silent
		n.mu.Unlock()
		if silent || size < 12 {
			continue
		}
		time.AfterFunc(delay, func() { n.answer(query, from) })
	}
}

func (n *nameServer) answer(query []byte, to *net.UDPAddr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	data := encodeList(query, n.serial, n.list)
	if data == nil {
		return
	}
	n.answers++
	if _, known := n.firstSent[n.serial]; !known {
		n.firstSent[n.serial] = time.Now()
		n.rec.printf("name server sends its first answer with number %d", n.serial)
	}
	_, _ = n.conn.WriteToUDP(data, to)
}

func dnsName(name string) []byte {
	var b []byte
	for _, label := range strings.Split(strings.Trim(name, "."), ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func dnsRecord(name string, kind uint16, data []byte) []byte {
	b := dnsName(name)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

// encodeList returns the answer to a query: SRV records, SOA in the authority section, A and TXT records.
func encodeList(query []byte, serial uint32, list []entry) []byte {
	const service = "_data._tcp.farm.lan"
	question := append(dnsName(service), 0, 33, 0, 1)
	b := append([]byte(nil), query[:2]...)
	b = append(b, 0x84, 0)
	for _, count := range []int{1, len(list), 1, 2 * len(list)} {
		b = binary.BigEndian.AppendUint16(b, uint16(count))
	}
	b = append(b, question...)
	var extra []byte
	for _, e := range list {
		addr, err := net.ResolveTCPAddr("tcp4", e.addr)
		if err != nil {
			return nil
		}
		host := e.id + ".east.hosts"
		srv := []byte{0, 0}
		if e.draining {
			srv[1] = 1
		}
		srv = binary.BigEndian.AppendUint16(srv, 40)
		srv = binary.BigEndian.AppendUint16(srv, uint16(addr.Port))
		b = append(b, dnsRecord(service, 33, append(srv, dnsName(host)...))...)
		extra = append(extra, dnsRecord(host, 1, addr.IP.To4())...)
		var texts []byte
		for _, t := range []string{"kind=std", fmt.Sprintf("cell=%d", e.group), fmt.Sprintf("started=%d", e.bootMS)} {
			texts = append(append(texts, byte(len(t))), t...)
		}
		extra = append(extra, dnsRecord(host, 16, texts)...)
	}
	soa := append(dnsName("ns.farm.lan"), dnsName("admin.farm.lan")...)
	soa = binary.BigEndian.AppendUint32(soa, serial)
	for range 4 {
		soa = binary.BigEndian.AppendUint32(soa, 1)
	}
	b = append(b, dnsRecord("farm.lan", 6, soa)...)
	return append(b, extra...)
}
