// Package msfailure holds the tests that bring failures about with real
// processes.
//
// Each test runs entries as processes of their own, with the platform, the
// upstream VMs and the callers as stand-ins inside the test. It kills, freezes
// and restarts entries, takes the log away, loses its answers, silences
// connections and lets operators race, alone and two at once. What it expects
// comes from counts: the upstreams' journals against what callers were told.
// No verdict depends on how fast anything was.
package msfailure
