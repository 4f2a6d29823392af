/*
 * Stand-in for a model engine: continuous batching, streams that outlive their connection, prefix
 * cache and orders to load models.
 */
package org.sapphirelever.standins

import io.ktor.server.routing.Routing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.runtime.store.WeightResult
import org.sapphirelever.runtime.store.WeightStore
import org.sapphirelever.wire.EngineState
import org.sapphirelever.wire.RunMessage

/**
 * Behaviour of an engine.
 *
 * @property tokenTime time for each token of a call that runs alone
 * @property batchSlowdown share of [tokenTime] that each further running call adds
 * @property promptTime time for each character of the prompt that is not cached
 * @property prefixLength characters of the prompt that the cache keeps under one entry
 * @property cacheEntries prefixes that fit into the cache
 * @property cacheEventLag age at which cache events are published
 * @property cacheEventGap every how many events one is lost, 0 for none
 * @property honoursFencing whether orders with an old fencing number are refused
 * @property loadTime time of a load after its weights have come
 */
public data class EngineSettings(
    public val target: TargetSettings,
    public val initial: EngineState = EngineState(target.service),
    public val tokenTime: Duration = 10.milliseconds,
    public val batchSlowdown: Double = 0.05,
    public val promptTime: Duration = 20.microseconds,
    public val defaultTokens: Int = 16,
    public val prefixLength: Int = 64,
    public val cacheEntries: Int = 256,
    public val cacheEventLag: Duration = 500.milliseconds,
    public val cacheEventGap: Int = 0,
    public val honoursFencing: Boolean = true,
    public val loadTime: Duration = 2.seconds,
    public val weights: WeightStore = WeightStore { WeightResult.Fetched(0) }
)

/** One engine. */
public class EngineStandIn(private val settings: EngineSettings) : StandIn {
    internal val state: MutableStateFlow<EngineCell> = MutableStateFlow(initialCell())
    private val base = TargetBase(settings.target, EngineWork())
    private val background = CompletableDeferred<CoroutineScope>()
    private val clock: MonotonicClock = settings.target.clock

    public val incarnation: String get() = base.incarnation
    public val runs: RunsMessage get() = base.runs

    override suspend fun run() {
        coroutineScope {
            background.complete(this)
            base.run()
            coroutineContext.job.cancelChildren()
        }
    }

    override suspend fun boundEndpoint(): Endpoint = base.boundEndpoint()

    public fun setFaults(faults: TargetFaults) {
        base.setFaults(faults)
    }

    /** Generates the stream of [message] on the slot of [ticket], whoever listens to it. */
    internal suspend fun startStream(ticket: Long, message: RunMessage) {
        state.update { it.copy(streams = it.streams.put(message.streamKey, StreamRecord())) }
        background.await().launch {
            val key = message.streamKey
            base.onSlot(ticket, message) {
                generate(message, open = { isOpen(key) }) { text ->
                    state.update { it.onToken(key, text) }
                }
            }
            state.update { it.onStreamEnd(key, StreamPhase.DONE) }
        }
    }

    /** Loads [wanted]: fetches its weights, again while the store throttles, and then loads. */
    internal suspend fun startLoad(wanted: EngineState) {
        background.await().launch {
            val modelChanges = wanted.model.isNotEmpty() && wanted.model != state.value.actual.model
            while (modelChanges && settings.weights.fetch(wanted.model) !is WeightResult.Fetched) {
                if (state.value.desired != wanted) return@launch
                delay(WEIGHT_RETRY)
            }
            if (modelChanges) delay(settings.loadTime)
            state.update { it.onLoaded(wanted) }
        }
    }

    private fun initialCell(): EngineCell = with(settings) {
        EngineCell(PrefixCache(cacheEntries, cacheEventGap), initial, initial)
    }

    private fun isOpen(key: StreamKey): Boolean =
        state.value.streams[key]?.phase == StreamPhase.OPEN

    private suspend fun generate(
        message: RunMessage,
        open: () -> Boolean = { true },
        onToken: (String) -> Unit
    ) {
        readPrompt(message.input)
        val count = message.maximumTokens.takeIf { it > 0 } ?: settings.defaultTokens
        var index = 0
        while (index < count && open()) {
            base.work(tokenTime())
            onToken(if (index == 0) "${settings.target.service}(${message.input})" else " $index")
            index++
        }
    }

    private suspend fun readPrompt(input: String) {
        val prefix = input.take(settings.prefixLength)
        val cached = if (prefix in state.value.cache) prefix.length else 0
        base.work(settings.promptTime * (input.length - cached))
        val now = clock.now()
        state.update { it.copy(cache = it.cache.onUse(prefix, now)) }
    }

    /** Time of one token: the calls that run at once share each step of the batch. */
    private fun tokenTime(): Duration =
        settings.tokenTime * (1 + settings.batchSlowdown * (base.runningCalls - 1).coerceAtLeast(0))

    private inner class EngineWork : TargetWork {
        override suspend fun run(message: RunMessage, base: TargetBase): WorkResult {
            val tokens = mutableListOf<String>()
            generate(message) { tokens.add(it) }
            return WorkResult(tokens.joinToString(""), tokens.size)
        }

        override fun refusal(): String? =
            if (state.value.actual.model.isEmpty()) "unsupported" else null

        override fun Routing.install(base: TargetBase) {
            engineRoutes(this@EngineStandIn, settings, base)
        }
    }

    private companion object {
        val WEIGHT_RETRY = 1.seconds
    }
}
