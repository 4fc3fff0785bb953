package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(100, 0)

// run sends 1,000 requests in a second that would all go to the server, and returns how many of
// each tenth of the second it gets if it answers with a signal.
func run(phase float64, signal func(now time.Time) Signal) (sent [10]int) {
	r := NewRamp(start, phase)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if r.Offer(now) {
			r.Sent()
			sent[i/100]++
			r.Ended(now, signal(now))
		}
	}
	return sent
}

func TestGoodAnswersEndTheRamp(t *testing.T) {
	is := is.New(t)
	sent := run(0, func(time.Time) Signal { return Good })
	is.True(sent[0] >= 80) // 3 good answers lead to the full share
	is.Equal(sent[1], 100)
}

// TestOverloadKeepsTheShareLow answers the load of a server that is cold and has a queue.
func TestOverloadKeepsTheShareLow(t *testing.T) {
	is := is.New(t)
	sent := run(0, func(time.Time) Signal { return Overloaded })
	for _, n := range sent {
		is.True(n >= 10 && n <= 14) // an eighth
	}
	busy := run(0, func(time.Time) Signal { return Busy })
	is.True(busy[9] <= 14) // a queue doesn't raise the share
	recovered := run(0, func(now time.Time) Signal {
		if now.Sub(start) < 500*time.Millisecond {
			return Overloaded
		}
		return Good
	})
	is.Equal(recovered[9], 100)
}

// TestRampOfARareCallerEnds checks that a host without requests for the server doesn't keep it idle.
func TestRampOfARareCallerEnds(t *testing.T) {
	is := is.New(t)
	r := NewRamp(start, 0.5)
	is.True(!r.Done(start.Add(2 * growthTime)))
	is.True(r.Done(start.Add(3 * growthTime)))
	r.Ended(start, Overloaded)
	is.True(!r.Done(start.Add(3 * growthTime)))
	is.True(r.Done(start.Add(holdTime + 3*growthTime)))
}

// TestFirstRequestsOfHostsDontCoincide checks that many hosts together send the initial share,
// although none knows of the others.
func TestFirstRequestsOfHostsDontCoincide(t *testing.T) {
	is := is.New(t)
	const hosts = 144
	sent := 0
	for host := range hosts {
		if NewRamp(start, float64(host)/hosts).Offer(start) {
			sent++
		}
	}
	is.True(sent > hosts/10 && sent < hosts/6)
}

func TestSignalOfAnAnswer(t *testing.T) {
	is := is.New(t)
	is.Equal(Answer{}.Signal(), Good)
	is.Equal(Answer{Slots: 2}.Signal(), Good)
	is.Equal(Answer{Slots: 2, Waiting: 1}.Signal(), Busy)
	is.Equal(Answer{Slots: 2, Waiting: 4}.Signal(), Overloaded)
	is.Equal(Answer{Slow: true, Slots: 2}.Signal(), Overloaded)
	is.Equal(Answer{Failed: true}.Signal(), Overloaded)
}
