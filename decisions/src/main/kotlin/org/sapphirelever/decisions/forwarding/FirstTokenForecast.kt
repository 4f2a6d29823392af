/*
 * Forecast of the time until a target sends the first token of a response, and of what the request
 * costs other requests there. Times are in milliseconds.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln1p
import kotlin.time.DurationUnit
import org.sapphirelever.core.TargetId
import org.sapphirelever.core.forwarding.TargetRecord

/**
 * What is expected of a request at one target.
 *
 * @property waitMillis time until the first token
 * @property othersMillis delay of other requests at the target
 * @property keptTokens prompt tokens that the target probably holds
 * @property readTokens prompt tokens that it probably has to read
 * @property standardMillis time until the first token at an idle place of a target of standard
 *   speed, with which its measured time is compared
 */
public data class FirstTokenForecast(
    public val waitMillis: Double,
    public val othersMillis: Double = 0.0,
    public val keptTokens: Int = 0,
    public val readTokens: Int = 0,
    public val standardMillis: Double = 0.0
) {
    internal val costMillis: Double get() = waitMillis + othersMillis
}

/** Forecasts for one request at the targets of its service. */
internal interface TargetForecasts {
    fun at(target: TargetRecord): FirstTokenForecast
}

/** Targets that read no prompts; only their load differs. */
internal class PlainForecasts(private val context: ChoiceContext) : TargetForecasts {
    override fun at(target: TargetRecord): FirstTokenForecast {
        val view = context.view(target.id)
        val report = view.report?.takeIf { context.now - it.at < FAILURE_COOLDOWN }
        val others = ((report?.running ?: 0) - view.outstanding).coerceAtLeast(0)
        val requests = view.outstanding + others
        return FirstTokenForecast(
            (report?.slowness ?: 1.0) * requests * RUNNING_REQUEST_MILLIS +
                (report?.waiting ?: 0) * WAITING_REQUEST_MILLIS + context.transferMillis(target)
        )
    }

    private companion object {
        /** Delay that each waiting request adds. */
        const val WAITING_REQUEST_MILLIS = 60.0
    }
}

/** Model engines among [engines], which read [prompt]. */
internal class EngineForecasts(
    private val context: ChoiceContext,
    private val prompt: PromptShape,
    engines: List<TargetRecord>
) : TargetForecasts {
    private val views = engines.mapNotNull { context.views[it.id] }
    private val peers = medianSpeed(views)
    private val othersLoad = OthersLoad(views, context.now)
    private val placement = SharedPlacement(prompt, engines.map { it.id })
    private val totals = context.totals
    private val loaded = LoadedTokens(
        totals.loadedTokens,
        context.hosts.toDouble() / engines.size.coerceAtLeast(1)
    )

    override fun at(target: TargetRecord): FirstTokenForecast {
        val view = context.view(target.id)
        val others = othersLoad.at(view.report)
        val requests = view.outstanding + others.requests
        val heldTokens = view.prompts.values.sumOf { it.prompt.heldTokens } +
            others.requests * totals.meanHeldTokens
        val kept = keptTokens(target.id, view, heldTokens)
        val read = prompt.tokens - kept
        val tokensAhead = view.unreadTokens + others.waiting * totals.meanReadTokens
        val standard = FIRST_STEP_MILLIS + requests * RUNNING_REQUEST_MILLIS +
            readMillis(read + tokensAhead)
        val speed = view.speed.shrunkTo(peers)
        val slowness = othersLoad.slowness(view.report, speed.slowness)
        val pace = speed.ratio * slowness
        val relativePace = pace / (peers.ratio * peers.slowness)
        val slots = context.limits?.slots ?: view.report?.slots ?: 0
        val wait = standard * pace + placeWaitMillis(requests, slots) * relativePace +
            overdueMillis(view) + context.transferMillis(target) +
            (if (view.failedAt == null) 0.0 else BROKEN_CALL_MILLIS)
        val taken = if (slots > 0) (requests / slots).coerceAtMost(1.0) else 0.0
        return FirstTokenForecast(
            waitMillis = wait,
            othersMillis = displacementMillis(read) +
                readMillis(read) * pace * taken * DELAY_WEIGHT + preemptionMillis(heldTokens),
            keptTokens = kept.toInt(),
            readTokens = read.toInt(),
            standardMillis = standard
        )
    }

    private fun keptTokens(engine: TargetId, view: TargetView, heldTokens: Double): Double {
        val memory = context.limits?.cacheTokens?.toDouble() ?: Double.MAX_VALUE
        return view.expectedKept(prompt, loaded, memory - heldTokens, placement.chanceAt(engine))
    }

    /**
     * Cost of shared tokens that are read though another engine may hold them: they displace as
     * many others, which some engine has to read again. Own tokens are read wherever it runs.
     */
    private fun displacementMillis(readTokens: Double): Double {
        val sharedTokens = (readTokens - prompt.ownTokens).coerceAtLeast(0.0)
        return readMillis(sharedTokens) * peers.ratio * peers.slowness * DISPLACEMENT_WEIGHT
    }

    /**
     * Expected wait for one of [slots] places, of which [requests] are taken or asked for. The
     * number of requests is uncertain, so the wait grows smoothly as the places run out.
     */
    private fun placeWaitMillis(requests: Double, slots: Int): Double {
        if (slots <= 0) return 0.0
        val uncertainty = 1 + slots * LOAD_UNCERTAINTY
        val excess = uncertainty * softplus((requests + 1 - slots) / uncertainty)
        return excess * totals.residence.toDouble(DurationUnit.MILLISECONDS) / slots
    }

    /** Time by which the oldest prompt without an event is overdue. */
    private fun overdueMillis(view: TargetView): Double = view.prompts.values.maxOfOrNull { call ->
        val age = (context.now - call.sentAt).toDouble(DurationUnit.MILLISECONDS)
        if (call.hasBegun) 0.0 else age - call.forecast.waitMillis * OVERDUE_RATIO
    }?.coerceAtLeast(0.0) ?: 0.0

    /** Cost of a request that is preempted because this one takes memory beside [heldTokens]. */
    private fun preemptionMillis(heldTokens: Double): Double {
        val memory = context.limits?.cacheTokens ?: return 0.0
        if (memory <= 0) return 0.0
        val share = (heldTokens + prompt.heldTokens) / memory
        val nearness = (share - SAFE_MEMORY_SHARE) / (1 - SAFE_MEMORY_SHARE)
        return nearness.coerceAtLeast(0.0) * PREEMPTION_MILLIS
    }

    private companion object {
        /** Steps of an engine of standard speed around the prefill of a prompt. */
        const val FIRST_STEP_MILLIS = 40.0

        /** Prompt tokens that an idle engine of standard speed reads in a millisecond. */
        const val TOKENS_PER_MILLI = 40.0

        /** Displaced parts are read again by requests that wait, and displace others in turn. */
        const val DISPLACEMENT_WEIGHT = 2.0

        /** Reading delays the requests that run, and those that wait for their end. */
        const val DELAY_WEIGHT = 2.0

        /** Standard deviation of the number of requests at an engine, as a share of its places. */
        const val LOAD_UNCERTAINTY = 0.125

        /** A first event that takes longer than this multiple of its forecast is overdue. */
        const val OVERDUE_RATIO = 2.0

        /** Penalty of an engine whose last call broke, also after its cooldown. */
        const val BROKEN_CALL_MILLIS = 50.0

        /** Estimates of the memory in use are too coarse for the last part of the memory. */
        const val SAFE_MEMORY_SHARE = 0.85

        /** A preempted request is read again and misses its objective. */
        const val PREEMPTION_MILLIS = 1_000.0

        fun readMillis(tokens: Double): Double = tokens / TOKENS_PER_MILLI

        /** Smooth form of the greater of zero and [value]. */
        fun softplus(value: Double): Double = maxOf(value, 0.0) + ln1p(exp(-abs(value)))
    }
}

/** Delay that each request adds to the others at a target. */
private const val RUNNING_REQUEST_MILLIS = 2.0
