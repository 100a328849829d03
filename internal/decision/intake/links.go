package intake

// Figures of connections, ms.
const (
	speakWithin = 250.0   // whoever connects to ask speaks sooner
	proveWithin = 2000.0  // a connection on which nothing came by then is closed, as is a message that is not whole by then
	proveAll    = 2800.0  // a connection on which no whole message came by then is closed, whatever pieces did
	readWithin  = 10000.0 // whoever takes nothing for so long of what it is sent does not read
	quietFor    = 12000.0 // as is one on which nothing is open and nothing came for so long
)

// Link is what a gateway knows of a caller's connection.
type Link struct {
	Opened   float64 // when it came
	Used     float64 // when its latest whole message came
	Proven   bool    // one came
	Partial  bool    // one has begun that is not whole
	Begun    float64 // and when
	Open     int     // setups without an answer
	Standing int     // calls whose release would go there
	Unsent   bool    // something was made for it that has not left
	Stuck    float64 // and so many ms nothing has
}

// owes tells whether an answer would be lost with a connection. One that takes nothing for long is no reader's.
func (l *Link) owes() bool { return l.Open > 0 || l.Unsent && l.Stuck < readWithin }

// Spent tells whether a connection is to be closed by itself: it never said anything, stopped in the middle of a
// message, or has had nothing to carry for long. It guards descriptors and memory against callers that connect and say
// nothing, however they came to it. One that owes an answer is never closed, and a message that has just begun has its own
// time, however long the connection was quiet before.
func (l *Link) Spent(now float64) bool {
	switch {
	case l.owes():
		return false
	case !l.Proven && now-l.Opened > proveAll:
		return true
	case l.Partial:
		return now-l.Begun > proveWithin
	case !l.Proven:
		return now-l.Opened > proveWithin
	}
	return l.Standing == 0 && now-l.Used > quietFor
}

// worth ranks a connection by what its close would cost: nothing was said for a while; it carries nothing; it has just
// come, or a first message has begun; calls stand; a further message has begun.
func (l *Link) worth(now float64) int {
	switch {
	case !l.Proven && !l.Partial && now-l.Opened > speakWithin:
		return 0
	case l.Proven && !l.Partial && l.Standing == 0:
		return 1
	case !l.Proven:
		return 2
	case !l.Partial:
		return 3
	}
	return 4
}

// Evict names the connection to be closed when too many are open: of those that cost least the longest unused, for it has
// had the most time to speak; one that owes an answer never; -1: none, the newcomer goes. Callers that keep what they have
// used once do not shut out one that has just come.
func Evict(now float64, links []Link) int {
	worst := -1
	for i := range links {
		l := &links[i]
		if l.owes() {
			continue
		}
		if w := l.worth(now); worst < 0 || w < links[worst].worth(now) || w == links[worst].worth(now) && l.Used < links[worst].Used {
			worst = i
		}
	}
	return worst
}

// Lines is how many connections a gateway keeps to each of so many switches: no more than a switch tells its state on,
// and all together no more than a part of the descriptors.
func Lines(sockets, switches, told int) int {
	return max(1, min(told, sockets/4/max(1, switches)))
}

// Callers is how many connections of callers are held at once, of so many descriptors: they need a third, the rest of
// this room is for those that are about to be closed.
func Callers(sockets int) int { return sockets * 9 / 20 }

// Life is what a gateway makes of a switch's silence.
type Life int

// The verdicts.
const (
	Lives Life = iota
	Doubt      // it is to be tried by a new line, on which one that lives speaks at once
	Died       // it takes no new line either
)

const (
	quietAfter = 1500.0 // ms without a word while calls are there
	deadAfter  = 4000.0 // ms
	deadTries  = 2      // tries to connect that nobody answered since it was last heard
	lostAfter  = 6500.0 // ms without any connection: a call that has ended there unheard must be released within 8 s
)

// Silence judges a switch with calls that has said nothing for quiet ms, to which no line has been up for away ms, and
// where so many tries to connect brought no answer, not even a refusal. It guards against machines that vanish: their connections
// stay open, and nothing ever says that their calls are over. One that refuses is there, and may only take no new lines:
// its calls go on, as long as a line is up on which their ends can come.
func Silence(quiet, away float64, unanswered int) Life {
	switch {
	case quiet > deadAfter && unanswered >= deadTries, away > lostAfter:
		return Died
	case quiet > quietAfter:
		return Doubt
	}
	return Lives
}
