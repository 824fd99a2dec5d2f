package lease

import (
	"fmt"

	"pomelofork/core/model"
)

// Kind is the kind of a right.
type Kind uint8

// The kinds of rights.
const (
	// KindAccount is the right to issue the tokens of one share of a client account's
	// rate.
	KindAccount Kind = iota + 1
	// KindService is the right to be the gateway of one rank for a service.
	KindService
)

// The number of rights that each client account and each service has.
const (
	// AccountShares is the number of shares of a client account's rate: one for each of
	// four failure domains.
	AccountShares = 4
	// ServiceRanks is the number of gateways of a service.
	ServiceRanks = 2
)

// Right identifies one right: one share of a client account's rate, or one rank among the
// gateways of a service. It is sent to peers by net/rpc.
type Right struct {
	// Kind says whether Name is a client account or a service.
	Kind Kind `json:"kind"`
	// Name is the client account or the service.
	Name string `json:"name"`
	// Part is the number of the share or the rank, counted from zero.
	Part int `json:"part"`
}

// AccountShare returns the right to issue the tokens of one share of an account's rate.
// share is less than AccountShares.
func AccountShare(account model.AccountID, share int) Right {
	return Right{Kind: KindAccount, Name: string(account), Part: share}
}

// ServiceRank returns the right to be the gateway of one rank for a service. rank is less
// than ServiceRanks.
func ServiceRank(service model.ServiceID, rank int) Right {
	return Right{Kind: KindService, Name: string(service), Part: rank}
}

// parts returns how many rights of this kind one name has.
func (r Right) parts() int {
	if r.Kind == KindService {
		return ServiceRanks
	}
	return AccountShares
}

// String returns a form for logs, for example "account alpha/2".
func (r Right) String() string {
	kind := "account"
	if r.Kind == KindService {
		kind = "service"
	}
	return fmt.Sprintf("%s %s/%d", kind, r.Name, r.Part)
}
