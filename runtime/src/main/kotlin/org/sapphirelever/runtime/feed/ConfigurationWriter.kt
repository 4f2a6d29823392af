/*
 * Writes of the configuration document. Pure functions decide on each reply; the writer performs
 * the steps that they return.
 */
package org.sapphirelever.runtime.feed

import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.Revision
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.resource.Configuration
import org.sapphirelever.core.resource.validate
import org.sapphirelever.decisions.configuration.WriteDecision
import org.sapphirelever.decisions.configuration.WriteEvent
import org.sapphirelever.decisions.configuration.WriteState
import org.sapphirelever.decisions.configuration.WriteStep
import org.sapphirelever.decisions.configuration.next
import org.sapphirelever.decisions.configuration.on
import org.sapphirelever.runtime.store.Platform
import org.sapphirelever.runtime.store.StoredValue
import org.sapphirelever.runtime.store.WriteResult
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.toConfiguration
import org.sapphirelever.wire.toMessage

/** Key of the configuration document on the platform. */
public const val CONFIGURATION_KEY: String = "sapphirelever/configuration"

/** A change of the configuration. [identity] is stored with it, to recognise the write later. */
public data class Change(
    public val identity: String,
    public val expected: Revision?,
    public val apply: (Configuration) -> Configuration
)

/**
 * Writes changes to [platform]. [onAccepted] receives each accepted configuration that a write
 * reads or creates, so that it takes effect here without waiting for the elected reader.
 */
public class ConfigurationWriter(
    private val platform: Platform,
    private val onAccepted: (Configuration) -> Unit = {}
) {
    private data class Stored(val configuration: Configuration, val platformRevision: Long)

    /**
     * Applies [change] and returns the first revision that contains it, which is not the newest
     * one if other writes followed.
     *
     * @throws SapphireleverException with [ErrorCode.REVISION_CONFLICT], [ErrorCode.WRITE_UNKNOWN],
     *   [ErrorCode.PLATFORM_UNAVAILABLE], [ErrorCode.INVALID_RESOURCE] or
     *   [ErrorCode.CONFIGURATION_TOO_LARGE]
     */
    public suspend fun write(change: Change): Revision {
        var stored = Stored(Configuration(), 0)
        var decision = WriteDecision(WriteState(change.identity, change.expected), WriteStep.Read)
        while (true) {
            val event = when (val step = decision.step) {
                WriteStep.Read -> {
                    val read = platform.read(CONFIGURATION_KEY)
                    if (read != null) {
                        stored = Stored(read.toConfiguration(), read.revision)
                        onAccepted(stored.configuration)
                    }
                    read?.let { WriteEvent.ReadBack(stored.configuration) } ?: WriteEvent.ReadFailed
                }

                is WriteStep.Swap -> swap(decision.state, change, stored)

                is WriteStep.Accepted -> return step.revision

                is WriteStep.Conflict -> throw conflictError(step)

                WriteStep.PlatformUnavailable ->
                    throw SapphireleverException(ErrorCode.PLATFORM_UNAVAILABLE)

                WriteStep.Unknown -> throw SapphireleverException(ErrorCode.WRITE_UNKNOWN)
            }
            decision = decision.state.on(event)
        }
    }

    private suspend fun swap(state: WriteState, change: Change, stored: Stored): WriteEvent {
        val base = stored.configuration
        val next = state.next(base, applyAndValidate(state, change, base))
        val text = encode(state, next)
        return when (platform.compareAndSwap(CONFIGURATION_KEY, stored.platformRevision, text)) {
            is WriteResult.Written -> {
                onAccepted(next)
                WriteEvent.Written(next.revision)
            }

            is WriteResult.Conflict -> WriteEvent.Refused

            is WriteResult.Unclear -> WriteEvent.Unclear(next.revision)

            is WriteResult.Unavailable -> WriteEvent.Unavailable
        }
    }

    /**
     * Applies [change]. If the result is invalid, but an earlier try with an unclear result may
     * have written the change, the outcome of the write is unknown.
     */
    private fun applyAndValidate(
        state: WriteState,
        change: Change,
        base: Configuration
    ): Configuration {
        val changed = change.apply(base)
        val findings = validate(changed)
        if (findings.isEmpty()) return changed
        if (state.mayStillTakeEffect(base)) throw SapphireleverException(ErrorCode.WRITE_UNKNOWN)
        throw SapphireleverException(ErrorCode.INVALID_RESOURCE, findings = findings)
    }

    private fun WriteState.mayStillTakeEffect(base: Configuration): Boolean =
        lastUnclear?.let { base.revision < it } ?: false

    private fun encode(state: WriteState, next: Configuration): String {
        val text = MessageJson.encodeToString(next.toMessage())
        if (text.encodeToByteArray().size <= MAXIMUM_BYTES) return text
        val code = if (state.lastUnclear == null) {
            ErrorCode.CONFIGURATION_TOO_LARGE
        } else {
            ErrorCode.WRITE_UNKNOWN
        }
        throw SapphireleverException(code, "the document exceeds $MAXIMUM_BYTES bytes")
    }

    private fun conflictError(step: WriteStep.Conflict): SapphireleverException {
        val winner = step.winner?.let { ", written by change $it" }.orEmpty()
        val message = "revision ${step.revision} won$winner"
        return SapphireleverException(ErrorCode.REVISION_CONFLICT, message)
    }

    private companion object {
        /** The platform accepts values up to 1 MB; the difference is a safety margin. */
        const val MAXIMUM_BYTES = 900_000
    }
}

/** Decodes the stored document; the configuration is empty if none has ever been written. */
public fun StoredValue.toConfiguration(): Configuration = if (revision == 0L) {
    Configuration()
} else {
    MessageJson.decodeFromString<ConfigurationMessage>(value).toConfiguration()
}
