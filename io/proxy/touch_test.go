package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An instance with an old word of the configuration", func() {
	for name, c := range map[string]struct {
		survey survey
		want   bool
	}{
		"whose peers know no more, the store being down, keeps its callers":  {survey{asked: 5}, false},
		"that lost a few peers as well keeps them":                           {survey{asked: 5, silent: 2}, false},
		"that a peer knows more than sends them elsewhere":                   {survey{asked: 5, newer: 1}, true},
		"that reaches nobody does so":                                        {survey{asked: 5, silent: 5}, true},
		"on the smaller side of a divided network does so, with some others": {survey{asked: 5, silent: 3}, true},
		"without peers keeps them":                                           {survey{}, false},
	} {
		It(name, func() { Expect(c.survey.elsewhere()).To(Equal(c.want)) })
	}
})
