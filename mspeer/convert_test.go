package mspeer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"marjoramspan/mstoken"
)

// TestExchangeRoundTrip encodes and decodes random items and grants and requires that no
// field is lost or changed.
func TestExchangeRoundTrip(t *testing.T) {
	count := rapid.IntRange(0, 1000)
	rapid.Check(t, func(t *rapid.T) {
		item := mstoken.Item{
			Resource:       "x",
			Gen:            mstoken.Generation{Epoch: 3, Version: 4},
			Seq:            rapid.Uint64().Draw(t, "seq"),
			Held:           count.Draw(t, "held"),
			Want:           count.Draw(t, "want"),
			HasEntitlement: rapid.Bool().Draw(t, "has due"),
			Ceiling:        count.Draw(t, "ceiling"),
			Call:           rapid.Bool().Draw(t, "call"),
			Recall:         count.Draw(t, "recall"),
		}
		if item.HasEntitlement {
			item.Entitlement = count.Draw(t, "due")
		}
		grant := mstoken.Grant{
			Resource:  "x",
			Gen:       mstoken.Generation{Epoch: 3, Version: 4},
			Seq:       rapid.Uint64().Draw(t, "seq"),
			Granted:   count.Draw(t, "n"),
			Refused:   rapid.Bool().Draw(t, "refused"),
			Recall:    count.Draw(t, "recall"),
			Contended: rapid.Bool().Draw(t, "tight"),
			Settled:   rapid.Bool().Draw(t, "settled"),
			Ceiling:   count.Draw(t, "ceiling"),
		}
		var req ExchangeRequest
		roundTrip(t, &ExchangeRequest{Items: FromItems([]mstoken.Item{item})}, &req)
		require.Equal(t, []mstoken.Item{item}, ToItems(req.GetItems()))
		var reply ExchangeReply
		roundTrip(t, &ExchangeReply{Gifts: FromGrants([]mstoken.Grant{grant})}, &reply)
		require.Equal(t, []mstoken.Grant{grant}, ToGrants(reply.GetGifts()))
	})
}

// roundTrip marshals from and unmarshals the result into to.
func roundTrip(t require.TestingT, from, to proto.Message) {
	data, err := proto.Marshal(from)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(data, to))
}
