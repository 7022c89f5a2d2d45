package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"godwitmount/internal/status"
)

// explainRoute answers where a request would go now. Questions are neither logged nor
// counted: they may contain a customer's key, and change nothing.
func (d *Daemon) explainRoute(c echo.Context) error {
	q, err := status.ParseRouteQuery(c.Request())
	if err != nil {
		return c.JSON(http.StatusBadRequest, status.QueryError{Error: err.Error()})
	}
	answer, err := d.proxy.ExplainRoute(q)
	if err != nil {
		return c.JSON(http.StatusBadRequest, status.QueryError{Error: err.Error()})
	}
	answer.Instance = d.cfg.Settings.Instance
	answer.DataCentre = d.cfg.Settings.DataCentre
	return c.JSON(http.StatusOK, answer)
}
