/*
 * Writes of the configuration document: compare-and-swap with a change identity. An unclear reply
 * is resolved by reading the document back.
 */
package org.sapphirelever.runtime.feed

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.ChangeRecord
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.validate
import org.sapphirelever.platform.Platform
import org.sapphirelever.platform.StoredValue
import org.sapphirelever.platform.WriteResult
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.toConfiguration
import org.sapphirelever.wire.toMessage

/** A change of the configuration. [identity] marks the write, so that it can be recognised. */
public data class Change(
    public val identity: String,
    public val expected: Revision?,
    public val apply: (Configuration) -> Configuration
)

public class ConfigurationWriter(private val platform: Platform) {
    /**
     * Applies [change] and returns the accepted configuration.
     *
     * @throws SapphireleverException with [ErrorCode.REVISION_CONFLICT], [ErrorCode.WRITE_UNKNOWN],
     *   [ErrorCode.PLATFORM_UNAVAILABLE], [ErrorCode.INVALID_RESOURCE] or
     *   [ErrorCode.CONFIGURATION_TOO_LARGE]
     */
    public suspend fun write(change: Change): Configuration {
        repeat(MAXIMUM_TRIES) {
            val stored =
                platform.read(CONFIGURATION_KEY)
                    ?: throw SapphireleverException(ErrorCode.PLATFORM_UNAVAILABLE)
            val current = stored.configuration()
            val own = current.recentChanges.firstOrNull { it.change == change.identity }
            if (own != null) return current
            requireExpected(change, current)
            val next = next(change, current)
            when (
                val result = platform.compareAndSwap(
                    CONFIGURATION_KEY,
                    stored.revision,
                    encode(next)
                )
            ) {
                is WriteResult.Written -> return next

                is WriteResult.Unavailable ->
                    throw SapphireleverException(ErrorCode.PLATFORM_UNAVAILABLE, result.reason)

                // Read again: the write may have won, or another change may have.
                is WriteResult.Conflict, is WriteResult.Unclear -> Unit
            }
        }
        throw SapphireleverException(ErrorCode.WRITE_UNKNOWN)
    }

    private fun requireExpected(change: Change, current: Configuration) {
        val expected = change.expected ?: return
        if (expected == current.revision) return
        throw SapphireleverException(
            ErrorCode.REVISION_CONFLICT,
            "expected revision $expected, in force is ${current.revision}"
        )
    }

    private fun next(change: Change, current: Configuration): Configuration {
        val revision = Revision(current.revision.value + 1)
        val next =
            change
                .apply(current)
                .copy(
                    revision = revision,
                    recentChanges = current.recentChanges.remembering(change.identity, revision)
                )
        val findings = validate(next)
        if (findings.isNotEmpty()) {
            throw SapphireleverException(ErrorCode.INVALID_RESOURCE, findings = findings)
        }
        return next
    }

    private fun PersistentList<ChangeRecord>.remembering(
        identity: String,
        revision: Revision
    ): PersistentList<ChangeRecord> =
        add(ChangeRecord(identity, revision)).takeLast(REMEMBERED_CHANGES).toPersistentList()

    private fun encode(configuration: Configuration): String {
        val text = MessageJson.encodeToString(configuration.toMessage())
        if (text.length > MAXIMUM_BYTES) {
            throw SapphireleverException(ErrorCode.CONFIGURATION_TOO_LARGE)
        }
        return text
    }

    private fun StoredValue.configuration(): Configuration = if (revision == 0L) {
        Configuration()
    } else {
        MessageJson.decodeFromString<ConfigurationMessage>(value).toConfiguration()
    }

    private companion object {
        const val MAXIMUM_TRIES = 5
        const val REMEMBERED_CHANGES = 256

        /** The platform holds values up to 1 MB; the margin leaves room for multi-byte names. */
        const val MAXIMUM_BYTES = 900_000
    }
}
