package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRefusalByRestartedHolderIsNotReported guards against a refusal as not run of a job that the
// previous process of its holder had started, if the holder's build does not compare claims.
func TestRefusalByRestartedHolderIsNotReported(t *testing.T) {
	b := newOriginBed(t)
	offered := offers(b.step(Submit{Request: 1, Job: twoTaskJob("j"), Budget: 5 * time.Second}))
	require.Len(t, offered, 1)
	require.Len(t, offers(b.step(LinkOpened{Address: b.peer.Address})), 1)
	refusal := Verdict{ID: "j", Outcome: Refused, Reason: Overload, Token: offered[0].Token}

	b.peer.Incarnation++
	assert.Empty(t, answers(b.receiveHeartbeat(0)))
	assert.Empty(t, answers(b.receiveVerdict(refusal)))
	const nextGeneration = 2
	reoffered := offers(b.advance(100*time.Millisecond, nextGeneration))
	require.NotEmpty(t, reoffered)
	for _, o := range reoffered {
		assert.True(t, o.Reoffered)
	}
	assert.Empty(t, answers(b.receiveVerdict(refusal)), "the verdict on the former offer")
	refusal.Token = reoffered[0].Token
	got := answers(b.receiveVerdict(refusal))
	require.Len(t, got, 1)
	assert.Equal(t, Unknown, got[0].Outcome)
}
