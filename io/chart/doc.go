// Package chart draws line charts as PNG images.
package chart
