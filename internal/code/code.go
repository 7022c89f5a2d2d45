// Package code defines the numbered result codes in answers to callers, in logs,
// in the tool's output and between daemons. A test in docscheck compares
// docs/CODES.md with the table.
package code

import "net/http"

// Code is a numbered result. The hundreds are groups: 1xx manifest, 2xx settings,
// 4xx applying a configuration, 5xx calls.
type Code uint32

// Outcome says whether a caller's request may have run.
type Outcome string

// The outcomes of requests that the mesh answered instead of an upstream.
const (
	// NotRun means that no upstream ran the request, and none will run it.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
	// NoOutcome is the outcome of codes that never answer a call.
	NoOutcome Outcome = ""
)

// The result codes.
const (
	// OK means no error.
	OK Code = 0

	ManifestSyntax       Code = 101
	ManifestUnknownField Code = 102
	ManifestWrongType    Code = 103
	ManifestMissingField Code = 104
	ManifestDuplicate    Code = 105
	ManifestDangling     Code = 106
	ManifestUnreachable  Code = 107
	ManifestOutOfRange   Code = 108
	ManifestUnsafeRetry  Code = 109
	ManifestTooLarge     Code = 110

	SettingsSyntax       Code = 201
	SettingsUnknownField Code = 202
	SettingsWrongType    Code = 203
	SettingsMissingField Code = 204
	SettingsOutOfRange   Code = 205
	SettingsUnreadable   Code = 206
	SettingsDuplicate    Code = 207

	ApplyCompileFailed Code = 404

	CallNoRoute         Code = 501
	CallNoUpstream      Code = 502
	CallNotReady        Code = 503
	CallShed            Code = 504
	CallDeadlineNotRun  Code = 505
	CallDeadlineUnknown Code = 506
	CallUpstreamLost    Code = 507
	CallConnectRefused  Code = 508
	CallFenced          Code = 509
	CallDraining        Code = 510
	CallQuarantined     Code = 511
	CallBodyTooLarge    Code = 512
	CallBadRequest      Code = 513
	CallPeerLost        Code = 514
	CallRetryBudget     Code = 515
	CallCancelled       Code = 516
	CallAnswerBroken    Code = 517
	CallHeadersTooLarge Code = 518
	CallUpstreamRefused Code = 519
	CallUnauthorized    Code = 520
	CallParentUnknown   Code = 521
	CallUnproven        Code = 522
	CallQuotaExceeded   Code = 523
	CallNotExposed      Code = 524
	CallVersionClosed   Code = 525
	CallStopped         Code = 526
	CallCancelledNotRun Code = 527
)

// Info describes one code.
type Info struct {
	Code Code
	// Name is the code's stable name in logs and JSON.
	Name string
	// Text is a one-sentence description, as in docs/CODES.md.
	Text string
	// Outcome is set for codes that answer calls.
	Outcome Outcome
	// Status is the HTTP status of an answer with this code, 0 for codes that
	// never answer a call.
	Status int
	// RetryAfter reports whether the answer has a Retry-After header.
	RetryAfter bool
}

var table = []Info{
	{OK, "ok", "No error.", NoOutcome, 0, false},
	{ManifestSyntax, "manifest-syntax", "The manifest is not JSON with comments.", NoOutcome, 0, false},
	{ManifestUnknownField, "manifest-unknown-field", "The manifest has an unknown field.", NoOutcome, 0, false},
	{ManifestWrongType, "manifest-wrong-type", "A manifest field has a value of the wrong type.", NoOutcome, 0, false},
	{ManifestMissingField, "manifest-missing-field", "A required manifest field is missing.", NoOutcome, 0, false},
	{ManifestDuplicate, "manifest-duplicate", "A field or a name appears twice in the manifest.", NoOutcome, 0, false},
	{ManifestDangling, "manifest-dangling", "A manifest entry refers to an entry that does not exist.", NoOutcome, 0, false},
	{ManifestUnreachable, "manifest-unreachable", "A route can never match because an earlier route matches all its requests.", NoOutcome, 0, false},
	{ManifestOutOfRange, "manifest-out-of-range", "A manifest value is outside its allowed range.", NoOutcome, 0, false},
	{ManifestUnsafeRetry, "manifest-unsafe-retry", "A retry rule would retry a non-idempotent request that may have run.", NoOutcome, 0, false},
	{ManifestTooLarge, "manifest-too-large", "The manifest exceeds the size limit.", NoOutcome, 0, false},

	{SettingsSyntax, "settings-syntax", "The settings file is not JSON with comments.", NoOutcome, 0, false},
	{SettingsUnknownField, "settings-unknown-field", "The settings file has an unknown field.", NoOutcome, 0, false},
	{SettingsWrongType, "settings-wrong-type", "A settings field has a value of the wrong type.", NoOutcome, 0, false},
	{SettingsMissingField, "settings-missing-field", "A required settings field is missing.", NoOutcome, 0, false},
	{SettingsOutOfRange, "settings-out-of-range", "A settings value is outside its allowed range.", NoOutcome, 0, false},
	{SettingsUnreadable, "settings-unreadable", "The settings file cannot be read.", NoOutcome, 0, false},
	{SettingsDuplicate, "settings-duplicate", "A field appears twice in the settings file.", NoOutcome, 0, false},

	{ApplyCompileFailed, "apply-compile-failed", "The manifest does not compile.", NoOutcome, 0, false},

	{CallNoRoute, "call-no-route", "No route matches the request.", NotRun, http.StatusNotFound, false},
	{CallNoUpstream, "call-no-upstream", "The service has no upstream that accepts requests.", NotRun, http.StatusServiceUnavailable, true},
	{CallNotReady, "call-not-ready", "The daemon has no configuration yet.", NotRun, http.StatusServiceUnavailable, true},
	{CallShed, "call-shed", "The service is overloaded.", NotRun, http.StatusServiceUnavailable, true},
	{CallDeadlineNotRun, "call-deadline-not-run", "The deadline passed before the request started.", NotRun, http.StatusServiceUnavailable, true},
	{CallDeadlineUnknown, "call-deadline-unknown", "The deadline passed while the request may have been running.", Unknown, http.StatusGatewayTimeout, false},
	{CallUpstreamLost, "call-upstream-lost", "The upstream became unavailable while it ran the request.", Unknown, http.StatusBadGateway, false},
	{CallConnectRefused, "call-connect-refused", "The upstream did not accept a connection.", NotRun, http.StatusServiceUnavailable, true},
	{CallFenced, "call-fenced", "The attempt was fenced before it started.", NotRun, http.StatusServiceUnavailable, true},
	{CallDraining, "call-draining", "The instance accepts no new requests.", NotRun, http.StatusServiceUnavailable, true},
	{CallQuarantined, "call-quarantined", "The request is quarantined because it crashed upstreams.", NotRun, http.StatusServiceUnavailable, true},
	{CallBodyTooLarge, "call-body-too-large", "The request body exceeds the limit.", NotRun, http.StatusRequestEntityTooLarge, false},
	{CallBadRequest, "call-bad-request", "The request is malformed.", NotRun, http.StatusBadRequest, false},
	{CallPeerLost, "call-peer-lost", "The connection to the executing daemon was lost while the request was in progress.", Unknown, http.StatusBadGateway, false},
	{CallRetryBudget, "call-retry-budget", "The request failed and the retry budget is exhausted.", NotRun, http.StatusServiceUnavailable, true},
	{CallCancelled, "call-cancelled", "The caller disconnected while the request may have been running.", Unknown, 499, false},
	{CallAnswerBroken, "call-answer-broken", "The upstream's answer was incomplete or invalid.", Unknown, http.StatusBadGateway, false},
	{CallHeadersTooLarge, "call-headers-too-large", "The request headers exceed the limit.", NotRun, http.StatusRequestHeaderFieldsTooLarge, false},
	{CallUpstreamRefused, "call-upstream-refused", "The upstream refused the request without running it.", NotRun, http.StatusServiceUnavailable, true},
	{CallUnauthorized, "call-unauthorized", "The request has no key of a customer, or an unknown one.", NotRun, http.StatusUnauthorized, false},
	{CallParentUnknown, "call-parent-unknown", "The request has no key, and its id names a request that does not run here.", NotRun, http.StatusServiceUnavailable, true},
	{CallUnproven, "call-unproven", "The daemon does not know whether its configuration, and so the customer's key, is still in force.", NotRun, http.StatusServiceUnavailable, true},
	{CallQuotaExceeded, "call-quota-exceeded", "The customer has used its allowance.", NotRun, http.StatusTooManyRequests, true},
	{CallNotExposed, "call-not-exposed", "The upstream has a new version on trial, and the request does not belong to the trial.", NotRun, http.StatusServiceUnavailable, true},
	{CallVersionClosed, "call-version-closed", "A rollout gives no requests to the version of the upstream.", NotRun, http.StatusServiceUnavailable, true},
	{CallStopped, "call-stopped", "A planned stop reached its time limit while the request may have been running.", Unknown, http.StatusBadGateway, false},
	{CallCancelledNotRun, "call-cancelled-not-run", "The caller disconnected before the request started.", NotRun, http.StatusServiceUnavailable, true},
}

var byCode = indexByCode()

func indexByCode() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}

// All returns the table of codes in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}

// Info returns the description of the code, or the zero Info for a code that this
// release does not know.
func (c Code) Info() Info {
	return byCode[c]
}

// String returns the code's stable name, or "unknown-code" for a code that this
// release does not know.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "unknown-code"
}
