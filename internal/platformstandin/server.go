package platformstandin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"godwitmount/internal/platform"
)

// Paths beside the platform's own protocol.
const (
	PathStats   = "/v1/stats"
	PathFaults  = "/v1/faults"
	PathRestore = "/v1/restore"
)

// Limits of one request, in bytes and rows.
const (
	maxObject = 16 << 20
	maxScan   = 1000
)

// RestoreRequest asks to set the table back.
type RestoreRequest struct {
	Transactions int `json:"transactions"`
}

// NewHandler serves a store over HTTP.
func NewHandler(store *Store) http.Handler {
	e := echo.New()
	e.HideBanner = true
	h := handler{store: store}
	e.POST(platform.PathTransact, h.transact)
	e.GET(platform.PathRow, h.read)
	e.GET(platform.PathScan, h.scan)
	e.GET(platform.PathObject, h.getObject)
	e.PUT(platform.PathObject, h.putObject)
	e.GET(PathStats, h.stats)
	e.GET(PathFaults, h.getFaults)
	e.POST(PathFaults, h.setFaults)
	e.POST(PathRestore, h.restore)
	return e
}

type handler struct {
	store *Store
}

func (h handler) transact(c echo.Context) error {
	var tx platform.Transaction
	if err := bind(c, &tx); err != nil {
		return err
	}
	result, err := h.store.Transact(c.Request().Context(), tx)
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, result)
}

func (h handler) read(c echo.Context) error {
	row, err := h.store.Read(c.Request().Context(), c.QueryParam("key"))
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, row)
}

func (h handler) scan(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 || limit > maxScan {
		return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("limit: want 1 to %d", maxScan))
	}
	rows, err := h.store.Scan(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, platform.ScanAnswer{Rows: rows})
}

func (h handler) getObject(c echo.Context) error {
	body, err := h.store.GetObject(c.Request().Context(), c.QueryParam("name"))
	if err != nil {
		return fail(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (h handler) putObject(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObject+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(body) > maxObject {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "object too large")
	}
	if err := h.store.PutObject(c.Request().Context(), c.QueryParam("name"), body); err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusOK)
}

func (h handler) stats(c echo.Context) error {
	return c.JSON(http.StatusOK, h.store.Stats())
}

func (h handler) getFaults(c echo.Context) error {
	return c.JSON(http.StatusOK, h.store.Faults())
}

func (h handler) setFaults(c echo.Context) error {
	var faults Faults
	if err := bind(c, &faults); err != nil {
		return err
	}
	if err := h.store.SetFaults(faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, h.store.Faults())
}

func (h handler) restore(c echo.Context) error {
	var req RestoreRequest
	if err := bind(c, &req); err != nil {
		return err
	}
	if req.Transactions < 1 {
		return echo.NewHTTPError(http.StatusBadRequest, "transactions: want at least 1")
	}
	h.store.Restore(req.Transactions)
	return c.JSON(http.StatusOK, h.store.Stats())
}

// fail answers with the status the client maps back to err. A lost answer
// closes the connection without one.
func fail(c echo.Context, err error) error {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, platform.ConflictAnswer{Key: conflict.Key, Current: conflict.Current})
	case errors.Is(err, platform.ErrNotFound):
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	case errors.Is(err, platform.ErrInvalid):
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	panic(http.ErrAbortHandler)
}
