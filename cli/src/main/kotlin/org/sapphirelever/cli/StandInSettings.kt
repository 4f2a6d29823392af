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

private const val GREATEST_SLOTS = 1024L
private const val GREATEST_MILLIS = 600_000L
private const val GREATEST_COUNT = 1_000_000L
private const val GREATEST_FACTOR = 1000.0
private const val DEFAULT_SLOTS = 8L
private const val DEFAULT_PROMPT_MICROS = 20L
private const val DEFAULT_BATCH_SLOWDOWN = 0.05

private fun duration(name: String, default: Duration, description: String) =
    defaulted(name, MillisecondsType(0L..GREATEST_MILLIS), default, description)

private fun count(name: String, unit: String, default: Long, description: String) =
    defaulted(name, NumberType(0L..GREATEST_COUNT, unit), default, description)

private fun switch(name: String, description: String) =
    defaulted(name, SwitchType, false, description)

internal val ADDRESS = defaulted("address", AddressType, LOOPBACK, "address to serve on")

/** Settings of the platform stand-in; 0 means no limit. */
internal object PlatformOptions {
    val port = required("port", PortType, "port to serve on")
    private val writes = count("writes-per-second", "writes/s", 0, "limit of writes")
    private val reads = count("reads-per-second", "reads/s", 0, "limit of reads")
    private val weights = count("weights-per-minute", "loads/min", 0, "limit of the weight store")
    private val lag = duration("host-lag", Duration.ZERO, "age of the host list that readers see")
    private val outage = switch("outage", "refuse every call")
    private val silent = switch("silent", "accept calls and never answer")
    private val slow = duration("slow", Duration.ZERO, "delay of each reply")
    private val lost = count("lost-replies", "replies", 0, "first writes that get no reply")

    val ALL: SettingGroup =
        settings {
            +ADDRESS
            +port
            +writes
            +reads
            +weights
            +lag
            +outage
            +silent
            +slow
            +lost
        }

    fun limits(values: SettingValues): PlatformLimits = PlatformLimits(
        writesPerSecond = values[writes].toInt(),
        readsPerSecond = values[reads].toInt(),
        weightsPerMinute = values[weights].toInt(),
        hostLagMillis = values[lag].inWholeMilliseconds
    )

    fun faults(values: SettingValues): PlatformFaults = PlatformFaults(
        outage = values[outage],
        silent = values[silent],
        slowMillis = values[slow].inWholeMilliseconds,
        lostReplies = values[lost].toInt()
    )
}

/** Settings that all stand-ins of targets share. */
internal object TargetOptions {
    val ports = required("ports", ListType(PortType), "ports to serve on, one for each target")
    private val service = required("service", NameType, "name of the service")
    private val slots =
        defaulted(
            "slots",
            NumberType(1L..GREATEST_SLOTS, "calls"),
            DEFAULT_SLOTS,
            "calls that one target runs at once"
        )
    private val queue =
        optional(
            "queue-limit",
            NumberType(0L..GREATEST_COUNT, "calls"),
            "calls that wait for a slot before more are refused; the number of slots if absent"
        )
    private val lag = duration("load-lag", Duration.ZERO, "age of the load that is reported")

    val ALL: SettingGroup =
        settings {
            +ADDRESS
            +ports
            +service
            +slots
            +queue
            +lag
        } + FaultOptions.ALL

    /** Settings of the target on [port]. */
    fun read(values: SettingValues, port: Long): TargetSettings = TargetSettings(
        endpoint = Endpoint(values[ADDRESS], port.toInt()),
        service = values[service],
        slots = values[slots].toInt(),
        queueLimit = (values.find(queue) ?: values[slots]).toInt(),
        loadLag = values[lag],
        faults = FaultOptions.read(values)
    )
}

/** Faults that a target has from its start. */
internal object FaultOptions {
    private val slow =
        defaulted(
            "slow-factor",
            DecimalType(0.0..GREATEST_FACTOR, "factor"),
            1.0,
            "factor on the time of all work"
        )
    private val silent = switch("silent", "accept calls and never answer")
    private val before = switch("drop-before", "break the connection before the run")
    private val after = switch("drop-after", "break the connection after the run")
    private val crossed = switch("crossed", "answer with the answer to another call")
    private val late = duration("late", Duration.ZERO, "delay of each answer after its run")
    private val doubled = switch("doubled", "send each answer twice")
    private val truncated = switch("truncated", "end each answer early")
    private val refuse = optional("refuse", NameType, "reason with which calls are refused")
    private val crash = optional("crash-text", TextType, "input that ends the target")
    private val tokens = count("fault-after-tokens", "tokens", 0, "tokens before a stream fails")
    private val length = duration("fault-length", Duration.ZERO, "time of the faults, 0 for ever")

    val ALL: SettingGroup =
        settings {
            +slow
            +silent
            +before
            +after
            +crossed
            +late
            +doubled
            +truncated
            +refuse
            +crash
            +tokens
            +length
        }

    fun read(values: SettingValues): TargetFaults = TargetFaults(
        slowFactor = values[slow],
        silent = values[silent],
        dropBefore = values[before],
        dropAfter = values[after],
        crossed = values[crossed],
        lateMillis = values[late].inWholeMilliseconds,
        doubled = values[doubled],
        truncated = values[truncated],
        refuse = values.find(refuse).orEmpty(),
        crashText = values.find(crash).orEmpty(),
        faultAfterTokens = values[tokens].toInt(),
        forMillis = values[length].inWholeMilliseconds
    )
}

/** Settings of pools and plain services. */
internal object PoolOptions {
    val serviceTime = duration("service-time", 20.milliseconds, "time that a call takes")
    val timePerCharacter =
        count("character-time", "microseconds", 0, "further time for each character of input")

    val ALL: SettingGroup =
        TargetOptions.ALL +
            settings {
                +serviceTime
                +timePerCharacter
            }
}

/** Settings of engines. */
internal object EngineOptions {
    private val tokenTime = duration("token-time", 10.milliseconds, "time of a token of one call")
    private val slowdown =
        defaulted(
            "batch-slowdown",
            DecimalType(0.0..1.0, "share"),
            DEFAULT_BATCH_SLOWDOWN,
            "share of the token time that each further running call adds"
        )
    private val promptTime =
        count(
            "prompt-time",
            "microseconds",
            DEFAULT_PROMPT_MICROS,
            "time for each character of a prompt that is not cached"
        )
    private val loadTime = duration("load-time", 2.seconds, "time of a model load")
    private val cacheLag = duration("cache-event-lag", 500.milliseconds, "age of cache events")
    private val cacheGap =
        count("cache-event-gap", "events", 0, "one of so many cache events is lost, 0 for none")
    private val ignoreFencing = switch("ignore-fencing", "take orders with an old fencing number")
    private val platform = optional("platform", EndpointType, "platform that has the weights")

    val ALL: SettingGroup =
        TargetOptions.ALL +
            settings {
                +tokenTime
                +slowdown
                +promptTime
                +loadTime
                +cacheLag
                +cacheGap
                +ignoreFencing
                +platform
            }

    /** Settings of the engine on [port]. */
    fun read(values: SettingValues, port: Long): EngineSettings = EngineSettings(
        target = TargetOptions.read(values, port),
        tokenTime = values[tokenTime],
        batchSlowdown = values[slowdown],
        promptTime = values[promptTime].microseconds,
        cacheEventLag = values[cacheLag],
        cacheEventGap = values[cacheGap].toInt(),
        honoursFencing = !values[ignoreFencing],
        loadTime = values[loadTime],
        weights = weights(values)
    )

    private fun weights(values: SettingValues): WeightStore =
        values.find(platform)?.let { HttpPlatform(it) } ?: WeightStore { WeightResult.Fetched(0) }
}
