// Package limit conserves the rate and burst of a client account over the fleet.
//
// The whole is divided into shares. One holder mints each share's tokens; wallets at
// the entries draw small grants and spend them. Tokens are debited before they
// travel, so a lost message loses tokens and never makes them.
//
// docs/notes/limits.md weighs this against other ways.
package limit
