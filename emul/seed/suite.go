package seed

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
)

// Suite returns the settings of a suite of specs whose order is the same in each run.
// Pass it to ginkgo.RunSpecs.
func Suite() types.SuiteConfig {
	suite, _ := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	return suite
}
