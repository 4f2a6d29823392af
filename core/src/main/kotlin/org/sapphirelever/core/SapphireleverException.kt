/*
 * Exceptions with codes. Code below a boundary throws these; the boundary turns them into an
 * outcome, a reply or an exit code.
 */
package org.sapphirelever.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A failure with a stable [code] and, for validation, the [findings] that led to it. */
public open class SapphireleverException(
    public val code: ErrorCode,
    message: String = code.meaning,
    public val findings: PersistentList<Finding> = persistentListOf(),
    cause: Throwable? = null
) : RuntimeException(message, cause)
