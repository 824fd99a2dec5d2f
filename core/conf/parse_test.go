package conf_test

import (
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// small is a document with one of each.
const small = `{
  "format": 1, "version": 1, "preset": "ordinary",
  "presets": {"ordinary": {"rate_percent": 100}, "peak": {"rate_percent": 150, "max_age_percent": 200},
    "maintenance": {"rate_percent": 50, "max_age_ms": 9000, "refuse_writes": true}},
  "accounts": [{"id": "a", "rate_per_s": 10, "burst": 5, "share": 1, "keys": [
    {"sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"},
    {"sha256": "fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9", "withdrawn": true}]}],
  "services": [{"id": "s", "database": "d", "user": "u", "statement_timeout_ms": 1000, "servers": [
    {"id": "s1", "address": "127.0.0.1:7500", "failure_domain": "x", "slots": 2, "connections": 16}]}],
  "routes": [
    {"id": "w", "service": "s", "access": "write"},
    {"id": "r", "service": "s", "access": "read", "max_age_ms": 2000},
    {"id": "fresh", "service": "s", "access": "read"}]
}`

// edit replaces one part of the small document.
func edit(old, replacement string) []byte {
	GinkgoHelper()
	Expect(small).To(ContainSubstring(old))
	return []byte(strings.Replace(small, old, replacement, 1))
}

// faultsOf returns the faults of a document that must have some.
func faultsOf(text []byte) []conf.Fault {
	GinkgoHelper()
	_, err := conf.Parse(text)
	faults := new(conf.FaultsError)
	Expect(errors.As(err, &faults)).To(BeTrue())
	return faults.Faults()
}

var _ = Describe("Parse", func() {
	It("takes a whole document", func() {
		config, err := conf.Parse([]byte(small))
		Expect(err).NotTo(HaveOccurred())
		account, _ := config.Account("a")
		Expect(account.Rate()).To(Equal(10.0))
		id, verdict := account.Verify("foo")
		Expect(verdict).To(Equal(conf.KeyValid))
		Expect(account.KeyState(id)).To(Equal(conf.KeyValid))
		id, verdict = account.Verify("bar")
		Expect(verdict).To(Equal(conf.KeyWithdrawn))
		Expect(account.KeyState(id)).To(Equal(conf.KeyWithdrawn))
		_, verdict = account.Verify("other")
		Expect(verdict).To(Equal(conf.KeyWrong))
	})

	for name, c := range map[string]struct{ old, replacement, place string }{
		"rate without a burst":        {`"burst": 5, `, ``, "accounts[0].burst"},
		"rate out of range":           {`"rate_per_s": 10`, `"rate_per_s": -1`, "accounts[0].rate_per_s"},
		"share out of range":          {`"share": 1`, `"share": 0`, "accounts[0].share"},
		"no hash":                     {`"2c26b46b`, `"2c26`, "accounts[0].keys[0].sha256"},
		"key twice":                   {`fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9`, `2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae`, "accounts[0].keys[1].sha256"},
		"route to no service":         {`"w", "service": "s"`, `"w", "service": "t"`, "routes[0].service"},
		"route of no access":          {`"access": "write"`, `"access": "both"`, "routes[0].access"},
		"write that accepts an age":   {`"access": "write"`, `"access": "write", "max_age_ms": 1`, "routes[0].max_age_ms"},
		"route for no account":        {`"access": "write"`, `"access": "write", "accounts": ["b"]`, "routes[0].accounts[0]"},
		"open route with accounts":    {`"access": "write"`, `"access": "write", "open_to_all": true, "accounts": ["a"]`, "routes[0].accounts"},
		"closed route charged":        {`"access": "write"`, `"access": "write", "charged_to": "a"`, "routes[0].charged_to"},
		"route twice":                 {`"id": "r"`, `"id": "w"`, "routes[1].id"},
		"unknown preset in force":     {`"preset": "ordinary"`, `"preset": "other"`, "preset"},
		"two presets in force, list":  {`"preset": "ordinary"`, `"preset": ["ordinary", "peak"]`, "preset"},
		"two presets in force, twice": {`"preset": "ordinary"`, `"preset": "ordinary", "preset": "peak"`, "preset"},
		"preset with two ages":        {`"max_age_percent": 200`, `"max_age_percent": 200, "max_age_ms": 1`, "presets.peak.max_age_ms"},
		"slots under one":             {`"slots": 2`, `"slots": 0`, "services[0].servers[0].slots"},
		"slots over connections":      {`"slots": 2`, `"slots": 17`, "services[0].servers[0].connections"},
		"address by name":             {`127.0.0.1:7500`, `localhost:7500`, "services[0].servers[0].address"},
		"service without servers":     {`"servers": [`, `"servers": [], "x": [`, "services[0].x"},
		"server in two services":      {`"services": [`, `"services": [{"id": "t", "database": "d", "user": "u", "statement_timeout_ms": 1, "servers": [{"id": "s1", "address": "127.0.0.1:1", "failure_domain": "x", "slots": 1, "connections": 1}]},`, "services[1].servers[0].id"},
		"two passwords":               {`"user": "u"`, `"user": "u", "password": "p", "password_env": "P"`, "services[0].password_env"},
		"unknown field":               {`"share": 1`, `"share": 1, "weight": 2`, "accounts[0].weight"},
		"field in another case":       {`"share": 1`, `"Share": 1`, "accounts[0].Share"},
		"field of another type":       {`"burst": 5`, `"burst": "5"`, "accounts[0].burst"},
		"part of a token":             {`"burst": 5`, `"burst": 5.5`, "accounts[0].burst"},
		"null":                        {`"burst": 5`, `"burst": null`, "accounts[0].burst"},
		"identifier with a separator": {`"id": "a"`, `"id": "a=b"`, "accounts[0].id"},
		"broken text":                 {`"version": 1,`, `"version": 1`, "line 2, column 29"},
		"text after the document":     {`"preset": "ordinary",`, `"preset": "ordinary"}`, "line 3, column 12"},
		"deep nesting":                {`"version": 1`, `"version": ` + strings.Repeat("[", 1000), "line 2, column 43"},
		"no version":                  {`"version": 1, `, ``, "version"},
		"another format":              {`"format": 1`, `"format": 2`, "format"},
	} {
		It("names the place: "+name, func() {
			places := []string{}
			for _, fault := range faultsOf(edit(c.old, c.replacement)) {
				places = append(places, fault.Place())
			}
			Expect(places).To(ContainElement(c.place))
		})
	}

	It("lists all faults of one document", func() {
		text := strings.NewReplacer(`"burst": 5`, `"burst": 0`, `"slots": 2`, `"slots": 0`, `"w", "service": "s"`, `"w", "service": "t"`).Replace(small)
		Expect(faultsOf([]byte(text))).To(HaveLen(3))
	})

	It("refuses a document over the store's limit", func() {
		text := small + strings.Repeat(" ", conf.MaxSize)
		Expect(faultsOf([]byte(text))[0].Text()).To(ContainSubstring("more than the store's 1048576"))
	})

	It("bounds the faults that it names", func() {
		text := edit(`"routes": [`, `"routes": [`+strings.Repeat(`{"id": "w"},`, 1000))
		Expect(faultsOf(text)).To(HaveLen(100))
	})
})

var _ = Describe("a preset", func() {
	for name, c := range map[string]struct {
		rate    float64
		maxAge  time.Duration
		refuses bool
	}{
		"ordinary":    {10, 2 * time.Second, false},
		"peak":        {15, 4 * time.Second, false},
		"maintenance": {5, 9 * time.Second, true},
	} {
		It("is the only one in force: "+name, func() {
			config, err := conf.Parse(edit(`"preset": "ordinary"`, `"preset": "`+name+`"`))
			Expect(err).NotTo(HaveOccurred())
			account, _ := config.Account("a")
			aged, _ := config.Route("r")
			fresh, _ := config.Route("fresh")
			Expect(config.Preset()).To(Equal(name))
			Expect(account.Rate()).To(Equal(c.rate))
			Expect(aged.MaxAge()).To(Equal(c.maxAge))
			Expect(fresh.MaxAge()).To(BeZero())
			Expect(config.RefusesWrites()).To(Equal(c.refuses))
		})
	}
})

var _ = Describe("Route", func() {
	It("knows its accounts", func() {
		config, err := conf.Parse(edit(`"access": "write"`, `"access": "write", "accounts": ["a"]`))
		Expect(err).NotTo(HaveOccurred())
		closed, _ := config.Route("w")
		Expect(closed.Allows("a")).To(BeTrue())
		Expect(closed.Allows("b")).To(BeFalse())
		free, _ := config.Route("r")
		Expect(free.Allows(model.AccountID("b"))).To(BeTrue())
	})
})
