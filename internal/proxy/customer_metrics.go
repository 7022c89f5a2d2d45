package proxy

import (
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/manifest"
)

const (
	// maxLabelledCustomers bounds the customers with counters of their own: each has
	// one for each result that it got.
	maxLabelledCustomers = 200
	// noCustomer labels requests without a customer, and otherCustomers those of
	// customers beyond maxLabelledCustomers. Neither is a customer's name in a
	// manifest file.
	noCustomer     = "-"
	otherCustomers = "+"
	// statusClass is the divisor that converts a status to its class.
	statusClass = 100
)

// customerMetrics counts the answers of each customer, in a mesh with customers. The
// methods may be called from any goroutine.
type customerMetrics struct {
	answers *prometheus.CounterVec
	// labelled is the set of the customers with counters of their own; nil in a mesh
	// without customers.
	labelled atomic.Pointer[map[string]bool]
}

func newCustomerMetrics() *customerMetrics {
	return &customerMetrics{answers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "godwitmount_customer_answers_total", Help: "Answers to callers by customer, and by class of status or result.",
	}, []string{"customer", "result"})}
}

// setCustomers sets the customers of the configuration in force, sorted by name, and
// drops the counters of others.
func (m *customerMetrics) setCustomers(customers []manifest.Customer) {
	labelled := map[string]bool{}
	for i := range min(len(customers), maxLabelledCustomers) {
		labelled[customers[i].Name] = true
	}
	before := m.labelled.Load()
	if len(labelled) == 0 {
		m.labelled.Store(nil)
	} else {
		m.labelled.Store(&labelled)
	}
	if before == nil {
		return
	}
	for name := range *before {
		if !labelled[name] {
			m.answers.DeletePartialMatch(prometheus.Labels{"customer": name})
		}
	}
}

// record counts an answer. Result is that of statusResult or the name of a code.
func (m *customerMetrics) record(customer *manifest.Customer, result string) {
	labelled := m.labelled.Load()
	if labelled == nil {
		return
	}
	label := noCustomer
	if customer != nil {
		label = customer.Name
		if !(*labelled)[label] {
			label = otherCustomers
		}
	}
	m.answers.WithLabelValues(label, result).Inc()
}

// statusResult returns the label of an upstream's answer, such as "2xx". The number
// of labels is bounded whatever the upstream answers.
func statusResult(status uint32) string {
	return strconv.Itoa(int(min(status/statusClass, 9))) + "xx"
}
