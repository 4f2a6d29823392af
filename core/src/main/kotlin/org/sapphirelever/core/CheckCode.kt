/*
 * Codes of the findings and differences that the check of a configuration reports. A code is
 * stable: it is never reused with another meaning. docs/errors.md lists them for users.
 */
package org.sapphirelever.core

/** Group of codes, in the order in which a report lists them. */
public enum class CheckGroup(public val text: String) {
    ERROR("error"),
    NEVER_MATCHES("never matches"),
    CONTRADICTION("contradiction"),
    DIFFERENCE("difference")
}

/**
 * Code of a rule; differences stand in the order of what callers lose by them.
 *
 * @property text the code in reports
 * @property meaning one-sentence explanation for operators
 */
public enum class CheckCode(
    public val text: String,
    public val group: CheckGroup,
    public val meaning: String
) {
    VALUE_OUT_OF_RANGE("value-out-of-range", CheckGroup.ERROR, "A value cannot be used."),
    PREFIX_MALFORMED(
        "prefix-malformed",
        CheckGroup.ERROR,
        "A path prefix does not begin and end with a slash."
    ),
    NAME_REPEATED("name-repeated", CheckGroup.ERROR, "Two entries have the same name."),
    SERVICE_UNKNOWN("service-unknown", CheckGroup.ERROR, "A service is used but not declared."),
    STAGE_NOT_BATCHED(
        "stage-not-batched",
        CheckGroup.ERROR,
        "The service of a stage states no limits for stage work."
    ),
    STAGE_ORDER("stage-order", CheckGroup.ERROR, "A stage waits for itself or an absent stage."),
    KEY_SHARED("key-shared", CheckGroup.ERROR, "Two organisations hold the same key."),
    VERSION_NOT_NEWER(
        "version-not-newer",
        CheckGroup.ERROR,
        "The version does not exceed the one in force, so hosts ignore it."
    ),
    ROUTE_SHADOWED(
        "route-shadowed",
        CheckGroup.NEVER_MATCHES,
        "An earlier route has the same host and prefix."
    ),
    SPLIT_WITHOUT_WEIGHT(
        "split-without-weight",
        CheckGroup.NEVER_MATCHES,
        "A service of a split has no weight and gets no requests."
    ),
    ORGANISATION_WITHOUT_KEYS(
        "organisation-without-keys",
        CheckGroup.NEVER_MATCHES,
        "An organisation has no key, so no request belongs to it."
    ),
    SERVICE_UNUSED("service-unused", CheckGroup.NEVER_MATCHES, "No route uses a service."),
    TARGETS_MISSING(
        "targets-missing",
        CheckGroup.NEVER_MATCHES,
        "A route uses a service that has no targets at the moment."
    ),
    TIMEOUT_BELOW_OBJECTIVE(
        "timeout-below-objective",
        CheckGroup.CONTRADICTION,
        "The timeout of a route ends before its objective."
    ),
    TIMEOUT_BELOW_STAGES(
        "timeout-below-stages",
        CheckGroup.CONTRADICTION,
        "The stages of a route take longer than its timeout, even without waiting."
    ),
    OBJECTIVE_BELOW_STAGES(
        "objective-below-stages",
        CheckGroup.CONTRADICTION,
        "The stages of a route take longer than its objective, even without waiting."
    ),
    ATTEMPTS_BEYOND_TIMEOUT(
        "attempts-beyond-timeout",
        CheckGroup.CONTRADICTION,
        "The permitted attempts, with their stages, take longer than the timeout of the route."
    ),
    RESULT_TOO_LARGE(
        "result-too-large",
        CheckGroup.CONTRADICTION,
        "One result of a stage exceeds the result capacity of a target."
    ),
    RESULT_EXPIRES(
        "result-expires",
        CheckGroup.CONTRADICTION,
        "A target drops results before the stage that takes them can end."
    ),
    BODY_BEYOND_MEMORY(
        "body-beyond-memory",
        CheckGroup.CONTRADICTION,
        "A body of the permitted size exceeds the memory of a host for messages."
    ),
    HEADER_TIMEOUT_BEYOND_IDLE(
        "header-timeout-beyond-idle",
        CheckGroup.CONTRADICTION,
        "A header may take longer than a connection may be idle."
    ),
    ROUTE_REMOVED("route-removed", CheckGroup.DIFFERENCE, "Requests of a route get 404."),
    KEYS_REMOVED("keys-removed", CheckGroup.DIFFERENCE, "Requests with these keys get 401."),
    ORGANISATION_REMOVED(
        "organisation-removed",
        CheckGroup.DIFFERENCE,
        "Requests of an organisation get 401."
    ),
    KEY_REQUIRED("key-now-required", CheckGroup.DIFFERENCE, "Requests without a key get 401."),
    SERVICES_CHANGED(
        "services-changed",
        CheckGroup.DIFFERENCE,
        "Requests of a route go to other services or in other shares."
    ),
    REPETITION_CHANGED(
        "repetition-changed",
        CheckGroup.DIFFERENCE,
        "Whether requests of a route may run more than once changes."
    ),
    TIME_SHORTENED(
        "time-shortened",
        CheckGroup.DIFFERENCE,
        "A timeout or an objective becomes shorter."
    ),
    LIMIT_LOWERED(
        "limit-lowered",
        CheckGroup.DIFFERENCE,
        "A limit of callers, attempts or a service becomes lower."
    ),
    RANK_CHANGED("rank-changed", CheckGroup.DIFFERENCE, "The urgency of requests changes."),
    STAGES_CHANGED("stages-changed", CheckGroup.DIFFERENCE, "A route has other stages."),
    SERVICE_REMOVED("service-removed", CheckGroup.DIFFERENCE, "A service is not declared."),
    OTHER_CHANGE("other-change", CheckGroup.DIFFERENCE, "Another field of an entry changes."),
    ENTRY_ADDED("entry-added", CheckGroup.DIFFERENCE, "A route, key or service is new.")
}
