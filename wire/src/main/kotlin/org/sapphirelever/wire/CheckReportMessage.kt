/*
 * Report of a check of a configuration, as JSON for scripts.
 */
package org.sapphirelever.wire

import kotlinx.serialization.Serializable
import org.sapphirelever.core.Finding

@Serializable
public data class CheckFindingMessage(
    public val code: String,
    public val group: String,
    public val source: String,
    public val line: Int,
    public val field: String,
    public val message: String,
    public val suggestion: String
)

@Serializable
public data class CheckReportMessage(
    public val findings: List<CheckFindingMessage>,
    public val differences: List<CheckFindingMessage>
)

public fun Finding.toCheckFindingMessage(): CheckFindingMessage = CheckFindingMessage(
    code = code?.text.orEmpty(),
    group = code?.group?.text.orEmpty(),
    source = place.source,
    line = place.line,
    field = place.field,
    message = message,
    suggestion = suggestion
)
