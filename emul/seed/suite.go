package seed

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
)

// Suite returns a configuration of Ginkgo with a fixed seed, so that the specs of a suite
// have the same order in each run. Pass it to ginkgo.RunSpecs.
func Suite() types.SuiteConfig {
	suite, _ := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	return suite
}
