// Package view keeps an up-to-date copy of the platform's store: the configuration in force,
// the backend servers, the instances and the holders of rights. A right is a named exclusive
// role that one instance holds by lease. An instance gets the content from the store or from a
// peer that watches the store. The package also tracks as of when the copy is known to be
// complete, because a withdrawn key may be used for a limited time only.
package view
