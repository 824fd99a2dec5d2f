// Package pages writes the pages on measures and capacity from the files that the
// experiments left behind. No figure of a page is typed by hand.
package pages
