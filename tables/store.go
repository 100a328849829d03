package tables

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/number"
)

// Store keeps the tables that a gateway ran, in one file. A table is in it with its checksum before it runs, and what
// the file says to run is changed with it in one transaction.
type Store struct {
	db *bbolt.DB
}

var (
	forms   = []byte("forms")   // serial: compact form
	notes   = []byte("notes")   // serial: api.KeptTable
	state   = []byte("state")   // running, history
	running = []byte("running") // serial
	history = []byte("history") // serials, the latest last
)

// ErrDamaged says that a kept table is not what was kept.
var ErrDamaged = errors.New("tables: kept table is damaged")

// Open opens a store, and makes it where there is none. Another process that has it is an error after a second.
func Open(file string) (*Store, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("tables: store %s: %w", file, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{forms, notes, state} {
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

func key(serial uint64) []byte { return binary.BigEndian.AppendUint64(nil, serial) }

func serials(b []byte) []uint64 {
	var of []uint64
	for ; len(b) >= 8; b = b[8:] {
		of = append(of, binary.BigEndian.Uint64(b))
	}
	return of
}

// Keep writes a table as the running one. Serial 0: a new one, which gets the next number; another: one that is kept
// already and runs again.
func (s *Store) Keep(c Checked, note string, serial uint64, at time.Time) (uint64, error) {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		st := tx.Bucket(state)
		was, past := serials(st.Get(running)), serials(st.Get(history))
		if serial == 0 {
			n, err := tx.Bucket(forms).NextSequence()
			if err != nil {
				return err
			}
			serial = n
			sum := sha256.Sum256(c.Form)
			kept, err := proto.Marshal(&api.KeptTable{Serial: n, Name: c.Table.Name, Version: c.Table.Version, Sum: hex.EncodeToString(sum[:]),
				AtUnix: at.Unix(), Note: note, Rules: int64(c.Table.Size())})
			if err != nil {
				return err
			}
			if err := errors.Join(tx.Bucket(forms).Put(key(n), c.Form), tx.Bucket(notes).Put(key(n), kept)); err != nil {
				return err
			}
			past = append(past, was...)
		} else if len(past) > 0 && past[len(past)-1] == serial {
			past = past[:len(past)-1]
		}
		past = past[max(0, len(past)-MostKept):]
		var b []byte
		used := map[uint64]bool{serial: true}
		for _, p := range past {
			b = append(b, key(p)...)
			used[p] = true
		}
		last := tx.Bucket(forms).Sequence()
		c := tx.Bucket(forms).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() { // those that were gone back from stay for a while
			if n := binary.BigEndian.Uint64(k); !used[n] && n+MostKept <= last {
				if err := errors.Join(c.Delete(), tx.Bucket(notes).Delete(k)); err != nil {
					return err
				}
			}
		}
		return errors.Join(st.Put(history, b), st.Put(running, key(serial)))
	})
	if err != nil {
		return 0, fmt.Errorf("tables: store: %w", err)
	}
	return serial, nil
}

// Form is a kept table's compact form; its checksum is looked at.
func (s *Store) Form(serial uint64) ([]byte, error) {
	var form []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		b, n := tx.Bucket(forms).Get(key(serial)), tx.Bucket(notes).Get(key(serial))
		kept := &api.KeptTable{}
		if b == nil || n == nil {
			return fmt.Errorf("tables: nothing is kept under %d", serial)
		}
		if err := proto.Unmarshal(n, kept); err != nil {
			return fmt.Errorf("%w: number %d: %w", ErrDamaged, serial, err)
		}
		if sum := sha256.Sum256(b); hex.EncodeToString(sum[:]) != kept.Sum {
			return fmt.Errorf("%w: number %d, %s version %d: its checksum is not what was kept", ErrDamaged, serial, kept.Name, kept.Version)
		}
		form = append([]byte(nil), b...)
		return nil
	})
	return form, err
}

// State is the serial that the store says to run, 0: none, and those that ran before it, the latest last.
func (s *Store) State() (now uint64, before []uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		st := tx.Bucket(state)
		if r := serials(st.Get(running)); len(r) == 1 {
			now = r[0]
		}
		before = serials(st.Get(history))
		return nil
	})
	return
}

// List is all that is kept, the latest first; what can't be read any more is said with it.
func (s *Store) List() ([]*api.KeptTable, error) {
	var of []*api.KeptTable
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(notes).Cursor()
		for k, v := c.Last(); k != nil; k, v = c.Prev() {
			kept := &api.KeptTable{}
			if err := proto.Unmarshal(v, kept); err != nil {
				kept = &api.KeptTable{Serial: binary.BigEndian.Uint64(k), Fault: err.Error()}
			}
			of = append(of, kept)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("tables: store: %w", err)
	}
	for _, k := range of {
		if _, err := s.Form(k.Serial); err != nil && k.Fault == "" {
			k.Fault = err.Error()
		}
	}
	return of, nil
}

// Recover finds what runs after a start: the table that the store says to run, or, where that can't be read or does not
// fit this gateway any more, the latest before it that can. problems say what was passed over; nil and no problems:
// nothing is kept.
func (s *Store) Recover(has number.Names) (run *number.Table, serial uint64, before []uint64, problems []error) {
	now, past, err := s.State()
	if err != nil {
		return nil, 0, nil, []error{err}
	}
	if now == 0 {
		return nil, 0, nil, nil
	}
	for of := append(past, now); len(of) > 0; of = of[:len(of)-1] {
		n := of[len(of)-1]
		form, err := s.Form(n)
		if err == nil {
			c := Check(form, has)
			if err = c.Err; err == nil {
				return c.Table, n, of[:len(of)-1], problems
			}
		}
		problems = append(problems, err)
	}
	return nil, 0, nil, problems
}
