/*
 * Findings of a validation. A validation collects every error with its location and reports them
 * together, so that a user can correct a file or a set of flags in one pass.
 */
package org.sapphirelever.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Location that a finding refers to.
 *
 * @property source file name, `flag`, `environment` or `request`
 * @property line line in the file, counted from 1, or 0 if [source] has no lines
 * @property field path of the field, for example `pipelines[0].stages[2].service`
 */
public data class Place(
    public val source: String,
    public val line: Int = 0,
    public val field: String = ""
) {
    override fun toString(): String = buildString {
        append(source)
        if (line > 0) append(":").append(line)
        if (field.isNotEmpty()) append(" ").append(field)
    }
}

/**
 * A validation error and its location.
 *
 * @property code stable code of the rule, or null for rules without one
 * @property suggestion what to change, or empty if the message says it
 */
public data class Finding(
    public val place: Place,
    public val message: String,
    public val code: CheckCode? = null,
    public val suggestion: String = ""
) {
    override fun toString(): String = buildString {
        append(place).append(": ")
        if (code != null) append('[').append(code.text).append("] ")
        append(message)
        if (suggestion.isNotEmpty()) append("; ").append(suggestion)
    }
}

/** Accumulates the findings of one validation. */
public class FindingCollector {
    private var collected: PersistentList<Finding> = persistentListOf()

    public val findings: PersistentList<Finding> get() = collected

    /** Records [message] at [place] unless [condition] holds; does not throw. */
    public fun require(condition: Boolean, place: Place, message: () -> String) {
        if (!condition) collected = collected.add(Finding(place, message()))
    }

    public fun report(place: Place, message: String) {
        report(Finding(place, message))
    }

    public fun report(finding: Finding) {
        collected = collected.add(finding)
    }
}

/** Runs [check] and returns all findings that it recorded. */
public fun collectFindings(check: FindingCollector.() -> Unit): PersistentList<Finding> =
    FindingCollector().apply(check).findings
