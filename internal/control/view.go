package control

import (
	"godwitmount/internal/claim"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
)

// claimView is what the data path finds claim holders by.
func claimView(id manifest.ID, table *manifest.Table, self membership.Record, records []membership.Record) *claim.View {
	live := map[string][]claim.Endpoint{}
	for _, record := range records {
		if !holdsClaims(record) {
			continue
		}
		endpoint := claim.Endpoint{Instance: record.Instance, Address: record.Address}
		live[record.DataCentre] = append(live[record.DataCentre], endpoint)
	}
	return &claim.View{
		Version:     id.Version,
		DataCentres: table.Manifest().DataCentres,
		Live:        live,
		Self:        self.Instance,
	}
}

// holderView is what the claim holder knows of its own data centre.
func holderView(id manifest.ID, table *manifest.Table, self membership.Record, records []membership.Record) claim.ViewChanged {
	view := claim.ViewChanged{
		Version:     id.Version,
		DataCentres: table.Manifest().DataCentres,
		Self:        self.Instance,
	}
	for _, record := range records {
		if record.DataCentre != self.DataCentre {
			continue
		}
		switch {
		case holdsClaims(record):
			view.Live = append(view.Live, claim.Member{
				Instance:    record.Instance,
				Incarnation: record.Incarnation,
				Address:     record.Address,
				Suspect:     record.Liveness == membership.Suspect,
			})
		case record.Leaving || record.Liveness == membership.Left:
			view.Left = append(view.Left, record.Instance)
		}
	}
	return view
}

// holdsClaims reports whether a daemon may hold claims: it lives and stays.
func holdsClaims(record membership.Record) bool {
	alive := record.Liveness == membership.Alive || record.Liveness == membership.Suspect
	return alive && !record.Leaving
}
