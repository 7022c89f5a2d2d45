package proxy

import (
	"strconv"
	"sync"

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
	// statusClass is the divisor that converts a status to its class, and maxStatusClass the
	// largest class that has a label of its own.
	statusClass    = 100
	maxStatusClass = 9
)

// customerMetrics counts the answers of each customer, in a mesh with customers. The
// methods may be called from any goroutine.
type customerMetrics struct {
	answers *prometheus.CounterVec

	// mu is locked while counters are dropped, so that none is made again meanwhile.
	mu sync.RWMutex
	// labelled is the set of the customers with counters of their own; empty in a mesh
	// without customers.
	labelled map[string]bool
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
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.labelled {
		if !labelled[name] {
			m.answers.DeletePartialMatch(prometheus.Labels{"customer": name})
		}
	}
	m.labelled = labelled
}

// record counts an answer. Result is that of statusResult or the name of a code.
func (m *customerMetrics) record(customer *manifest.Customer, result string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if len(m.labelled) == 0 {
		return
	}
	label := noCustomer
	if customer != nil {
		label = customer.Name
		if !m.labelled[label] {
			label = otherCustomers
		}
	}
	m.answers.WithLabelValues(label, result).Inc()
}

// statusResult returns the label of an upstream's answer, such as "2xx". The number
// of labels is bounded whatever the upstream answers.
func statusResult(status uint32) string {
	return strconv.Itoa(int(min(status/statusClass, maxStatusClass))) + "xx"
}
