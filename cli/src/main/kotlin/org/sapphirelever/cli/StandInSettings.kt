/*
 * Settings of the stand-ins: limits and faults of the platform, behaviour and faults of targets.
 */
package org.sapphirelever.cli

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.settings.AddressType
import org.sapphirelever.core.settings.DecimalType
import org.sapphirelever.core.settings.EndpointType
import org.sapphirelever.core.settings.ListType
import org.sapphirelever.core.settings.MillisecondsType
import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.PortType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SettingValues
import org.sapphirelever.core.settings.SwitchType
import org.sapphirelever.core.settings.TextType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.optional
import org.sapphirelever.core.settings.required
import org.sapphirelever.core.settings.settings
import org.sapphirelever.runtime.store.HttpPlatform
import org.sapphirelever.runtime.store.WeightResult
import org.sapphirelever.runtime.store.WeightStore
import org.sapphirelever.standins.EngineSettings
import org.sapphirelever.standins.PlatformFaults
import org.sapphirelever.standins.PlatformLimits
import org.sapphirelever.standins.TargetFaults
import org.sapphirelever.standins.TargetSettings

private const val MAXIMUM_SLOTS = 1024L
private const val MAXIMUM_DURATION_MILLIS = 600_000L
private const val MAXIMUM_COUNT = 1_000_000L
private const val MAXIMUM_SLOW_FACTOR = 1000.0
private const val DEFAULT_SLOTS = 8L
private const val DEFAULT_PROMPT_MICROS = 20L
private const val DEFAULT_BATCH_SLOWDOWN = 0.05

private fun duration(name: String, default: Duration, description: String) =
    defaulted(name, MillisecondsType(0L..MAXIMUM_DURATION_MILLIS), default, description)

private fun count(name: String, unit: String, default: Long, description: String) =
    defaulted(name, NumberType(0L..MAXIMUM_COUNT, unit), default, description)

private fun switch(name: String, description: String) =
    defaulted(name, SwitchType, false, description)

internal val ADDRESS = defaulted("address", AddressType, LOOPBACK, "address to listen on")

/** Settings of the platform stand-in; 0 means no limit. */
internal object PlatformOptions {
    val port = required("port", PortType, "port to listen on")
    private val writesPerSecond =
        count("writes-per-second", "writes/s", 0, "limit of writes, 0 for none")
    private val readsPerSecond =
        count("reads-per-second", "reads/s", 0, "limit of reads, 0 for none")
    private val weightsPerMinute =
        count("weights-per-minute", "loads/min", 0, "limit of weight loads, 0 for none")
    private val hostLag =
        duration("host-lag", Duration.ZERO, "delay of the host list that readers see")
    private val outage = switch("outage", "refuse every call")
    private val silent = switch("silent", "accept calls and never answer")
    private val replyDelay = duration("slow", Duration.ZERO, "delay of each reply")
    private val lostReplies =
        count("lost-replies", "replies", 0, "first writes and lease calls that get no reply")

    val ALL: SettingGroup =
        settings {
            +ADDRESS
            +port
            +writesPerSecond
            +readsPerSecond
            +weightsPerMinute
            +hostLag
            +outage
            +silent
            +replyDelay
            +lostReplies
        }

    fun limits(values: SettingValues): PlatformLimits = PlatformLimits(
        writesPerSecond = values[writesPerSecond].toInt(),
        readsPerSecond = values[readsPerSecond].toInt(),
        weightsPerMinute = values[weightsPerMinute].toInt(),
        hostLagMillis = values[hostLag].inWholeMilliseconds
    )

    fun faults(values: SettingValues): PlatformFaults = PlatformFaults(
        outage = values[outage],
        silent = values[silent],
        slowMillis = values[replyDelay].inWholeMilliseconds,
        lostReplies = values[lostReplies].toInt()
    )
}

/** Settings that all stand-ins of targets share. */
internal object TargetOptions {
    val ports = required("ports", ListType(PortType), "ports to listen on, one for each target")
    private val service = required("service", NameType, "name of the service")
    private val slots =
        defaulted(
            "slots",
            NumberType(1L..MAXIMUM_SLOTS, "calls"),
            DEFAULT_SLOTS,
            "calls that one target runs concurrently"
        )
    private val queueLimit =
        optional(
            "queue-limit",
            NumberType(0L..MAXIMUM_COUNT, "calls"),
            "calls that wait for a slot before more are refused; number of slots if absent"
        )
    private val loadLag = duration("load-lag", Duration.ZERO, "delay of the reported load")

    val ALL: SettingGroup =
        settings {
            +ADDRESS
            +ports
            +service
            +slots
            +queueLimit
            +loadLag
        } + FaultOptions.ALL

    /** Settings of the target on [port]. */
    fun read(values: SettingValues, port: Long): TargetSettings = TargetSettings(
        endpoint = Endpoint(values[ADDRESS], port.toInt()),
        service = values[service],
        slots = values[slots].toInt(),
        queueLimit = (values.find(queueLimit) ?: values[slots]).toInt(),
        loadLag = values[loadLag],
        faults = FaultOptions.read(values)
    )
}

/** Faults that are in force when a target starts. */
internal object FaultOptions {
    private val slowFactor =
        defaulted(
            "slow-factor",
            DecimalType(0.0..MAXIMUM_SLOW_FACTOR, "factor"),
            1.0,
            "factor by which all work takes longer"
        )
    private val silent = switch("silent", "accept calls and never answer")
    private val dropBefore = switch("drop-before", "break the connection before the run")
    private val dropAfter = switch("drop-after", "break the connection after the run")
    private val crossed = switch("crossed", "reply with the answer that belongs to another call")
    private val answerDelay = duration("late", Duration.ZERO, "delay of each answer after its run")
    private val doubled = switch("doubled", "send each answer twice")
    private val truncated = switch("truncated", "cut each answer off before its end")
    private val refusalReason = optional("refuse", NameType, "reason with which calls are refused")
    private val crashText = optional("crash-text", TextType, "input text that crashes the target")
    private val faultAfterTokens =
        count("fault-after-tokens", "tokens", 0, "tokens before a stream fails")
    private val faultLength =
        duration("fault-length", Duration.ZERO, "time until the faults end, 0 for never")

    val ALL: SettingGroup =
        settings {
            +slowFactor
            +silent
            +dropBefore
            +dropAfter
            +crossed
            +answerDelay
            +doubled
            +truncated
            +refusalReason
            +crashText
            +faultAfterTokens
            +faultLength
        }

    fun read(values: SettingValues): TargetFaults = TargetFaults(
        slowFactor = values[slowFactor],
        silent = values[silent],
        dropBefore = values[dropBefore],
        dropAfter = values[dropAfter],
        crossed = values[crossed],
        lateMillis = values[answerDelay].inWholeMilliseconds,
        doubled = values[doubled],
        truncated = values[truncated],
        refuse = values.find(refusalReason).orEmpty(),
        crashText = values.find(crashText).orEmpty(),
        faultAfterTokens = values[faultAfterTokens].toInt(),
        forMillis = values[faultLength].inWholeMilliseconds
    )
}

/** Settings of pools and plain services. */
internal object PoolOptions {
    val serviceTime = duration("service-time", 20.milliseconds, "time that a call takes")
    val timePerCharacter =
        count("character-time", "microseconds", 0, "additional time for each character of input")

    val ALL: SettingGroup =
        TargetOptions.ALL +
            settings {
                +serviceTime
                +timePerCharacter
            }
}

/** Settings of engines. */
internal object EngineOptions {
    private val tokenTime =
        duration("token-time", 10.milliseconds, "time for a token of a single call")
    private val slowdown =
        defaulted(
            "batch-slowdown",
            DecimalType(0.0..1.0, "share"),
            DEFAULT_BATCH_SLOWDOWN,
            "share of the token time that each additional running call adds"
        )
    private val promptTime =
        count(
            "prompt-time",
            "microseconds",
            DEFAULT_PROMPT_MICROS,
            "time for each character of a prompt that is not cached"
        )
    private val loadTime = duration("load-time", 2.seconds, "time to load a model")
    private val cacheEventLag =
        duration("cache-event-lag", 500.milliseconds, "delay of cache events")
    private val cacheEventGap =
        count("cache-event-gap", "events", 0, "every n-th cache event is lost, 0 for none")
    private val ignoreFencing = switch("ignore-fencing", "accept orders with an old fencing number")
    private val platform = optional("platform", EndpointType, "platform to fetch weights from")

    val ALL: SettingGroup =
        TargetOptions.ALL +
            settings {
                +tokenTime
                +slowdown
                +promptTime
                +loadTime
                +cacheEventLag
                +cacheEventGap
                +ignoreFencing
                +platform
            }

    /** Settings of the engine on [port]. */
    fun read(values: SettingValues, port: Long): EngineSettings = EngineSettings(
        target = TargetOptions.read(values, port),
        tokenTime = values[tokenTime],
        batchSlowdown = values[slowdown],
        promptTime = values[promptTime].microseconds,
        cacheEventLag = values[cacheEventLag],
        cacheEventGap = values[cacheEventGap].toInt(),
        honoursFencing = !values[ignoreFencing],
        loadTime = values[loadTime],
        weights = weightStore(values)
    )

    private fun weightStore(values: SettingValues): WeightStore =
        values.find(platform)?.let { HttpPlatform(it) } ?: WeightStore { WeightResult.Fetched(0) }
}
