package proxy

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"godwitmount/internal/code"
	"godwitmount/internal/freshness"
)

// identifyCustomer sets the customer that the call is for. It returns a failure if
// the call needs a key and has none that is known. The verdict says whether the
// configuration is known to be recent. If it is not, no key counts, and a call that has
// one may be sent again, as may one with an unknown key that may be new.
//
// Nested requests carry no key: the request that waits for them had one. A request
// without a key whose id names a parent may be a nested one whose parent ran here
// before the daemon was restarted, so that its sender must not be told that it lacks
// a key.
func (p *Proxy) identifyCustomer(c *call, header http.Header, table *Table, verdict freshness.Verdict) *failure {
	if c.nested || !table.HasCustomers() {
		return nil
	}
	values := header.Values(p.cfg.Headers.CustomerKey)
	// With several keys it is not clear which customer is meant.
	if len(values) == 1 && verdict.Serve {
		c.customer = table.CustomerByKey(values[0])
	}
	hasKey := slices.ContainsFunc(values, func(value string) bool { return value != "" })
	switch {
	case c.customer != nil || c.route.Public:
		return nil
	case hasKey && !verdict.Refuse:
		return newFailure(code.CallUnproven)
	case !hasKey && p.cfg.ParentID(c.id) != "":
		return newFailure(code.CallParentUnknown)
	default:
		return newFailure(code.CallUnauthorized)
	}
}

// customerField returns the log field of the call's customer.
func (c *call) customerField() zap.Field {
	if c.customer == nil {
		return zap.Skip()
	}
	return customerField(c.customer.Name)
}

// customerField returns the log field of a customer, or an empty one for none.
func customerField(name string) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("customer", name)
}
