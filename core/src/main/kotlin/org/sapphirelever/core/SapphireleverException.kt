/*
 * Exceptions that carry an error code. The component that answers the caller or the operator
 * converts them to an outcome, a reply or an exit code.
 */
package org.sapphirelever.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A failure with an error [code] and, if a validation failed, its [findings]. */
public open class SapphireleverException(
    public val code: ErrorCode,
    message: String = code.meaning,
    public val findings: PersistentList<Finding> = persistentListOf(),
    cause: Throwable? = null
) : RuntimeException(message, cause)
