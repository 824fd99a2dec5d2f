// Package chart draws figures as PNG pictures.
package chart
