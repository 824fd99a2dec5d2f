package conf

import (
	"slices"

	"pomelofork/core/model"
)

// EvacuateDomain is the change after which all backend servers in a failure domain are draining. The
// domain may be unknown, since its servers may be declared later.
type EvacuateDomain struct {
	// Domain is the failure domain.
	Domain model.Domain `json:"domain"`
}

// apply implements edit.
func (e *EvacuateDomain) apply(d *Document, _ *FaultsError) {
	if !slices.Contains(d.EvacuatedDomains, e.Domain) {
		d.EvacuatedDomains = append(slices.Clone(d.EvacuatedDomains), e.Domain)
	}
}

// ReturnDomain is the change after which the backend servers in an evacuated failure domain get new work
// again, except those that are draining by themselves.
type ReturnDomain struct {
	// Domain is the failure domain.
	Domain model.Domain `json:"domain"`
}

// apply implements edit.
func (e *ReturnDomain) apply(d *Document, faults *FaultsError) {
	i := slices.Index(d.EvacuatedDomains, e.Domain)
	if i < 0 {
		faults.add("return_domain.domain", "failure domain %q is not evacuated", string(e.Domain))
		return
	}
	d.EvacuatedDomains = slices.Delete(slices.Clone(d.EvacuatedDomains), i, i+1)
}
