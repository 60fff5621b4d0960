package config

import "testing"

func TestOnlyNamedCallsAreIdempotent(t *testing.T) {
	service := Service{Kind: KindPlain, Calls: []Call{
		{Method: "GET", Path: "/profile", Idempotent: true},
		{Method: "GET", Path: "/files/", Idempotent: true},
		{Method: "GET", Path: "/profile/export", Idempotent: false},
	}}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/profile", true},
		{"GET", "/profile/", true},
		{"GET", "/profile/7", true},
		{"GET", "/files/a/b", true},
		{"GET", "/profile/export", false},
		{"GET", "/profile/export/7", false},
		{"GET", "/profile/exports", true},
		{"POST", "/profile", false},
		{"GET", "/bookings", false},
		{"GET", "/profiles-delete", false},
		{"GET", "/profile/../bookings", false},
		{"GET", "/profile/%2e%2e/bookings", false},
		{"GET", "/profile//export", false},
		{"GET", "/profile/./export", false},
		{"GET", `/profile/..\bookings`, false},
		{"GET", "/profile/;x/export", false},
	} {
		if got := service.Idempotent(c.method, c.path); got != c.want {
			t.Errorf("%s %s: idempotent is %t, want %t", c.method, c.path, got, c.want)
		}
	}
}
