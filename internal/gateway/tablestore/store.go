// Package tablestore has number tables in files: as people write them, and in the store of a gateway.
package tablestore

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/decision/tableversions"
)

// Store keeps the tables that a gateway ran, in one file. A table is in it with its checksum before it runs, and what
// the file says to run is changed with it in one transaction.
type Store struct {
	db *bbolt.DB
}

var (
	formsBucket = []byte("forms")   // serial: compact form
	notesBucket = []byte("notes")   // serial: api.KeptTable
	stateBucket = []byte("state")   // running, history
	runningKey  = []byte("running") // serial
	historyKey  = []byte("history") // serials, the latest last
)

// ErrDamaged says that a kept table is not what was kept.
var ErrDamaged = errors.New("tables: kept table is damaged")

// Open opens a store, and makes it where there is none. Another process that has it is an error after a second.
func Open(file string) (*Store, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("tables: store %s: another process has it: %w", file, err)
	}
	if err != nil {
		return nil, fmt.Errorf("tables: store %s: %w", file, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{formsBucket, notesBucket, stateBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("tables: store %s: %w", file, err)
	}
	return &Store{db}, nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func encodeSerial(serial uint64) []byte { return binary.BigEndian.AppendUint64(nil, serial) }

func decodeSerials(b []byte) []uint64 {
	var out []uint64
	for ; len(b) >= 8; b = b[8:] {
		out = append(out, binary.BigEndian.Uint64(b))
	}
	return out
}

// Keep writes a table as the running one. Serial 0: a new one, which gets the next number; another: one that is kept
// already and runs again. shelf is what was on it before, which a start may have found less of than the file says.
func (s *Store) Keep(
	c tableversions.Checked,
	note string,
	serial uint64,
	history tableversions.Shelf,
	at time.Time,
) (uint64, error) {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if serial == 0 {
			n, err := tx.Bucket(formsBucket).NextSequence()
			if err != nil {
				return err
			}
			serial = n
			sum := sha256.Sum256(c.Form)
			kept, err := proto.Marshal(
				&api.KeptTable{Serial: n, Name: c.Table.Name, Version: c.Table.Version, Sum: hex.EncodeToString(sum[:]),
					AtUnix: at.Unix(), Note: note, Rules: int64(c.Table.Size())},
			)
			if err != nil {
				return err
			}
			if err := errors.Join(
				tx.Bucket(formsBucket).Put(encodeSerial(n), c.Form),
				tx.Bucket(notesBucket).Put(encodeSerial(n), kept),
			); err != nil {
				return err
			}
		}
		history = history.Take(serial)
		var before []byte
		for _, p := range history.Before {
			before = append(before, encodeSerial(p)...)
		}
		c := tx.Bucket(formsBucket).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if !history.Keeps(binary.BigEndian.Uint64(k), tx.Bucket(formsBucket).Sequence()) {
				if err := errors.Join(tx.Bucket(notesBucket).Delete(k), c.Delete()); err != nil {
					return err
				}
			}
		}
		return errors.Join(
			tx.Bucket(stateBucket).Put(historyKey, before),
			tx.Bucket(stateBucket).Put(runningKey, encodeSerial(history.Running)),
		)
	})
	if err != nil {
		return 0, fmt.Errorf("tables: store: %w", err)
	}
	return serial, nil
}

func readHistory(tx *bbolt.Tx) tableversions.Shelf {
	history := tableversions.Shelf{Before: decodeSerials(tx.Bucket(stateBucket).Get(historyKey))}
	if r := decodeSerials(tx.Bucket(stateBucket).Get(runningKey)); len(r) == 1 {
		history.Running = r[0]
	}
	return history
}

// Form is a kept table's compact form; its checksum is looked at.
func (s *Store) Form(serial uint64) ([]byte, error) {
	var form []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		b, note := tx.Bucket(formsBucket).Get(encodeSerial(serial)), tx.Bucket(notesBucket).Get(encodeSerial(serial))
		kept := &api.KeptTable{}
		if b == nil || note == nil {
			return fmt.Errorf("tables: nothing is kept under %d", serial)
		}
		if err := proto.Unmarshal(note, kept); err != nil {
			return fmt.Errorf("%w: number %d: %w", ErrDamaged, serial, err)
		}
		if sum := sha256.Sum256(b); hex.EncodeToString(sum[:]) != kept.Sum {
			return fmt.Errorf(
				"%w: number %d, %s version %d: its checksum is not what was kept",
				ErrDamaged,
				serial,
				kept.Name,
				kept.Version,
			)
		}
		form = append([]byte(nil), b...)
		return nil
	})
	return form, err
}

// Shelf is what the store says to run, and what ran before it.
func (s *Store) Shelf() (history tableversions.Shelf, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		history = readHistory(tx)
		return nil
	})
	return
}

// List is all that is kept, the latest first; what can't be read any more is said with it.
func (s *Store) List() ([]*api.KeptTable, error) {
	var list []*api.KeptTable
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(notesBucket).Cursor()
		for k, v := c.Last(); k != nil; k, v = c.Prev() {
			kept := &api.KeptTable{}
			if err := proto.Unmarshal(v, kept); err != nil {
				kept = &api.KeptTable{Serial: binary.BigEndian.Uint64(k), Fault: err.Error()}
			}
			list = append(list, kept)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("tables: store: %w", err)
	}
	for _, k := range list {
		if _, err := s.Form(k.Serial); err != nil && k.Fault == "" {
			k.Fault = err.Error()
		}
	}
	return list, nil
}

// Load reads and compiles a table of a file, of HCL or of the compact form; every fault is told, with file and line
// where there are lines.
func Load(file string) (*numberplan.Table, *api.NumberTable, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("number table: %w", err)
	}
	if strings.HasSuffix(file, ".hcl") {
		return numberplan.Parse(file, src)
	}
	form, err := numberplan.Unpack(src)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	t, err := numberplan.Compile(form)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	return t, form, nil
}
