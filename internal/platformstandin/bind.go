package platformstandin

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// bind reads a JSON body and refuses fields that are not known.
func bind(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxObject)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
