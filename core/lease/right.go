package lease

import (
	"fmt"

	"pomelofork/core/model"
)

// Kind tells the kinds of rights apart.
type Kind uint8

// The kinds of rights.
const (
	// KindAccount is a minting share of a client account.
	KindAccount Kind = iota + 1
	// KindService is a gateway's rank of a service.
	KindService
)

// The number of rights of each kind that belong to one name.
const (
	// AccountShares is the number of minting shares of a client account: one for each
	// of four failure domains.
	AccountShares = 4
	// ServiceRanks is the number of gateways of a service.
	ServiceRanks = 2
)

// Right names one right: part Part of an account's rate or of a service's gateways.
// It is a message: its fields are exported.
type Right struct {
	// Kind says what the right is about.
	Kind Kind `json:"kind"`
	// Name is the client account or the service.
	Name string `json:"name"`
	// Part counts from zero.
	Part int `json:"part"`
}

// AccountShare returns the right to mint one share of an account's rate.
func AccountShare(account model.AccountID, share int) Right {
	return Right{Kind: KindAccount, Name: string(account), Part: share}
}

// ServiceRank returns the right to be a service's gateway of one rank.
func ServiceRank(service model.ServiceID, rank int) Right {
	return Right{Kind: KindService, Name: string(service), Part: rank}
}

// parts returns how many rights share the name.
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
