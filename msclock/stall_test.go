package msclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStallIsKnownBeforeTheNextLook(t *testing.T) {
	clock := NewFake(time.Unix(0, 0))
	s := &StallDetector{Clock: clock, Min: 100 * time.Millisecond}
	s.look()
	clock.Advance(stallPoll + 99*time.Millisecond)
	_, ended := s.Last()
	require.True(t, ended.IsZero())
	began := clock.Now()
	clock.Advance(800 * time.Millisecond)
	gotBegan, ended := s.Last()
	require.Equal(t, began, gotBegan)
	require.Equal(t, clock.Now(), ended)
}
