package proxy

import (
	"log/slog"
	"net"
	"time"

	"pomelofork/core/admit"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/quota"
	"pomelofork/core/ramp"
	"pomelofork/core/trial"
	"pomelofork/io/entry"
	"pomelofork/io/lead"
	"pomelofork/io/pooler"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// Config holds the settings of an instance and what it depends on.
type Config struct {
	// Self describes this instance.
	Self plan.Instance
	// Build names the version of the program. It may be empty.
	Build string
	// Callers accepts the connections of callers.
	Callers net.Listener
	// Peers accepts the connections of other instances.
	Peers net.Listener
	// Ready accepts the HTTP connections of readiness checks.
	Ready net.Listener
	// ReadyPath is the URL path of the readiness check. It is answered with status 200 if
	// the instance is ready for new callers, and otherwise with 503.
	ReadyPath string
	// Metrics accepts the HTTP connections of those who read the metrics. Nil means that
	// none are served.
	Metrics net.Listener
	// Table is the platform's store.
	Table store.Table
	// StoreWrites is the number of writes a second that the store accepts from all instances
	// together. Zero means that it isn't known.
	StoreWrites float64
	// Established says that the fleet ran before this process started.
	Established bool
	// Prefix is the prefix of the keys that are watched in the store.
	Prefix string
	// Limit is the limit on the callers' sessions.
	Limit admit.Limit
	// MaxSettingsBytes bounds the session values and prepared statements of all callers' sessions together. Zero
	// means no limit.
	MaxSettingsBytes int64
	// OwnPrefix is the prefix of the keys under which the instances write their registrations
	// and rights.
	OwnPrefix string
	// Decoder decodes the platform's entries in the store.
	Decoder view.Decoder
	// Dialer opens connections to backend servers.
	Dialer pooler.Dialer
	// Status decodes what backend servers report of their replication.
	Status lead.StatusReader
	// Promoter has the platform promote backend servers.
	Promoter lead.Promoter
	// Codec returns the entry.Caller that speaks the platform's protocol on a caller's
	// connection.
	Codec func(net.Conn) entry.Caller
	// KeyLife is the configuration age from which callers' keys are no longer accepted.
	// Zero means no limit.
	KeyLife time.Duration
	// AccountCap is the limit on the operations of one client account.
	AccountCap quota.Cap
	// Regions are the regions of the failure domains.
	Regions map[model.Domain]model.Region
	// ToleratedDomains is the number of failure domains whose loss at the same time has to be borne.
	ToleratedDomains int
	// Contended says that callers compete for less room than they need at times.
	Contended bool
	// ColdLimit is what a server that just started may get.
	ColdLimit ramp.Limit
	// EvacuationBound is the time after the evacuation of a failure domain from which its servers get
	// no statement. Zero means that failure domains are not evacuated.
	EvacuationBound time.Duration
	// PromotionsPerSecond is the number of promotions a second that the platform accepts from all
	// instances together. Zero means that it isn't known.
	PromotionsPerSecond float64
	// Grace is the time from the request to stop until the process ends in any case.
	Grace time.Duration
	// Disabled are the mechanisms that are switched off.
	Disabled trial.Disabled
	// Log receives a record of each of the instance's decisions.
	Log *slog.Logger
}
