// Package tablestore reads number tables from files and keeps the tables of a gateway in a store.
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

// Store keeps the tables that a gateway ran, in one file. Before a table runs, one transaction stores it with its
// checksum and marks it as the running one.
type Store struct {
	db *bbolt.DB
}

var (
	formsBucket = []byte("forms")   // serial: compact form
	notesBucket = []byte("notes")   // serial: api.KeptTable
	stateBucket = []byte("state")   // running, history
	runningKey  = []byte("running") // serial
	historyKey  = []byte("history") // serials, oldest first
)

// ErrDamaged means that the contents of a stored table have changed.
var ErrDamaged = errors.New("number tables: stored table is damaged")

// Open opens a store and creates it if there is none. It fails after a second if another process has the store open.
func Open(file string) (*Store, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("number table store %s: in use by another process: %w", file, err)
	}
	if err != nil {
		return nil, fmt.Errorf("number table store %s: %w", file, err)
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
		return nil, fmt.Errorf("number table store %s: %w", file, err)
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

// Keep stores a table as the running one and returns its serial. Serial 0 means a new table, which gets the next
// serial; any other means a stored table that runs again. history is the state before, which has fewer tables than
// the file if some were skipped at the start.
func (s *Store) Keep(
	c tableversions.Checked,
	note string,
	serial uint64,
	history tableversions.History,
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
		history = history.Activate(serial)
		var before []byte
		for _, p := range history.Previous {
			before = append(before, encodeSerial(p)...)
		}
		c := tx.Bucket(formsBucket).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if !history.Retains(binary.BigEndian.Uint64(k), tx.Bucket(formsBucket).Sequence()) {
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
		return 0, fmt.Errorf("number table store: %w", err)
	}
	return serial, nil
}

func readHistory(tx *bbolt.Tx) tableversions.History {
	history := tableversions.History{Previous: decodeSerials(tx.Bucket(stateBucket).Get(historyKey))}
	if r := decodeSerials(tx.Bucket(stateBucket).Get(runningKey)); len(r) == 1 {
		history.Running = r[0]
	}
	return history
}

// Form returns the compact form of a stored table, after a check of its checksum.
func (s *Store) Form(serial uint64) ([]byte, error) {
	var form []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		b, note := tx.Bucket(formsBucket).Get(encodeSerial(serial)), tx.Bucket(notesBucket).Get(encodeSerial(serial))
		kept := &api.KeptTable{}
		if b == nil || note == nil {
			return fmt.Errorf("number table store: no table %d", serial)
		}
		if err := proto.Unmarshal(note, kept); err != nil {
			return fmt.Errorf("%w: table %d: %w", ErrDamaged, serial, err)
		}
		if sum := sha256.Sum256(b); hex.EncodeToString(sum[:]) != kept.Sum {
			return fmt.Errorf(
				"%w: table %d, %s version %d: checksum does not match",
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

// History returns which table runs according to the store, and which ran before it.
func (s *Store) History() (history tableversions.History, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		history = readHistory(tx)
		return nil
	})
	return
}

// List returns all stored tables, the latest first. A table that can't be read any more has its Fault set.
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
		return nil, fmt.Errorf("number table store: %w", err)
	}
	for _, k := range list {
		if _, err := s.Form(k.Serial); err != nil && k.Fault == "" {
			k.Fault = err.Error()
		}
	}
	return list, nil
}

// Load reads and compiles a table file, in HCL or the compact form. The error lists all faults, with file and line
// for HCL.
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
