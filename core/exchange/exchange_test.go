package exchange

import (
	"testing"
	"time"
)

// TestActionAfterAttempt guards against a request that runs twice, a rejection
// that wrongly promises that the request has not run, and an answer that is
// replaced although it could be delivered.
func TestActionAfterAttempt(t *testing.T) {
	unsafe := Policy{MaxAttempts: 2, Deadline: time.Second}
	safe := Policy{Idempotent: true, RetryFailures: true, MaxAttempts: 2, Deadline: time.Second}
	resumable := Policy{Idempotent: true, Resumable: true, MaxAttempts: 2, Deadline: time.Second}
	once := Policy{MaxAttempts: 1, Deadline: time.Second}
	for _, c := range []struct {
		name     string
		policy   Policy
		budget   bool
		outcomes []Outcome
		want     Action
	}{
		{"unsafe, lost", unsafe, true, []Outcome{Lost}, FailUnknown},
		{"unsafe, refused", unsafe, true, []Outcome{Refused}, Send},
		{"unsafe, refused twice", unsafe, true, []Outcome{Refused, Refused}, RejectNotRun},
		{"unsafe, refused and lost", unsafe, true, []Outcome{Refused, Lost}, FailUnknown},
		{"unsafe, failed", unsafe, true, []Outcome{Failed}, Deliver},
		{"unsafe, cut", unsafe, true, []Outcome{Cut}, Abort},
		{"unsafe, not sent", once, true, []Outcome{NotSent}, Send},
		{"unsafe, misdirected", once, true, []Outcome{Misdirected}, Send},
		{"unsafe, misdirected without budget", once, false, []Outcome{Misdirected}, RejectNotRun},
		{"one attempt, refused", once, true, []Outcome{Refused}, RejectNotRun},
		{"safe, lost", safe, true, []Outcome{Lost}, Send},
		{"safe, lost twice", safe, true, []Outcome{Lost, Lost}, FailUnknown},
		{"safe, lost then no server reached too often", safe, true, []Outcome{Lost, NotSent, NotSent, NotSent, NotSent, NotSent}, FailUnknown},
		{"safe, lost without budget", safe, false, []Outcome{Lost}, FailUnknown},
		{"safe, failed", safe, true, []Outcome{Failed}, Send},
		{"safe, failed twice", safe, true, []Outcome{Failed, Failed}, Deliver},
		{"safe, cut", safe, true, []Outcome{Cut}, Abort},
		{"resumable, cut", resumable, true, []Outcome{Cut}, Send},
		{"resumable, cut without budget", resumable, false, []Outcome{Cut}, Abort},
		{"resumable, cut twice", resumable, true, []Outcome{Cut, Cut}, Abort},
		{"resumable, lost", resumable, true, []Outcome{Lost}, Send},
		{"cut, then lost", resumable, true, []Outcome{Cut, Lost}, Abort},
		{"cut, then refused", resumable, true, []Outcome{Cut, Refused}, Abort},
		{"cut, then a failure", resumable, true, []Outcome{Cut, Failed}, Abort},
		{"cut, then no server reached too often", resumable, true, []Outcome{Cut, NotSent, NotSent, NotSent, NotSent, NotSent}, Abort},
		{"complete", safe, true, []Outcome{Complete}, Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := New(c.policy, func() bool { return c.budget })
			var got Action
			for _, o := range c.outcomes {
				got = x.ActionAfter(0, o)
			}
			if got != c.want {
				t.Errorf("action %v, want %v", got, c.want)
			}
		})
	}
}

// TestNothingIsSentAfterDeadline guards against attempts after the deadline.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	x := New(Policy{Idempotent: true, MaxAttempts: 3, Deadline: time.Second}, func() bool { return true })
	if got := x.ActionAfter(2*time.Second, Refused); got != RejectNotRun {
		t.Errorf("action %v, want %v", got, RejectNotRun)
	}
}

// TestBegunAnswerIsAbortedAtDeadline guards against an answer that was begun
// and then ends as if it were complete.
func TestBegunAnswerIsAbortedAtDeadline(t *testing.T) {
	x := New(Policy{Idempotent: true, MaxAttempts: 2, Deadline: time.Second}, func() bool { return true })
	x.ActionAfter(0, Cut)
	if got := x.ActionAtDeadline(); got != Abort {
		t.Errorf("action %v, want %v", got, Abort)
	}
}
