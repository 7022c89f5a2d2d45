package manifest

import (
	"testing"
)

func largeTable(b *testing.B) *Table {
	b.Helper()
	table, err := Compile(largeManifest(120, 1000))
	if err != nil {
		b.Fatal(err)
	}
	return table
}

func BenchmarkMatch(b *testing.B) {
	table := largeTable(b)
	request := Request{Method: "GET", Host: "shop.example:8080", Path: "/area-39/items-999/7"}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match(request); !ok {
			b.Fatal("no route matches")
		}
	}
}

func BenchmarkMatchNone(b *testing.B) {
	table := largeTable(b)
	request := Request{Method: "POST", Host: "shop.example:8080", Path: "/area-39/items-999/7"}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match(request); ok {
			b.Fatal("unexpected route")
		}
	}
}

func BenchmarkParseCanonical(b *testing.B) {
	body := largeManifest(120, 1000).Canonical()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseCanonical(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	m := largeManifest(120, 1000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(m); err != nil {
			b.Fatal(err)
		}
	}
}
