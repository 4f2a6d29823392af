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
 * @property prefixLength number of leading characters of the prompt that form a cache entry
 * @property cacheEntries capacity of the cache in prefixes
 * @property cacheEventLag delay after which cache events are published
 * @property cacheEventGap every this many events, one is lost; 0 for none
 * @property honoursFencing whether orders with an old fencing number are refused
 * @property loadTime time to load a model after its weights were fetched
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

/** An engine with simulated generation of tokens. */
public class EngineStandIn(private val settings: EngineSettings) : StandIn {
    internal val state: MutableStateFlow<EngineStandInState> = MutableStateFlow(initialState())
    private val base = TargetBase(settings.target, EngineWork())
    private val backgroundScope = CompletableDeferred<CoroutineScope>()
    private val clock: MonotonicClock = settings.target.clock

    public val incarnation: String get() = base.incarnation
    public val runs: RunsMessage get() = base.runs

    override suspend fun run() {
        coroutineScope {
            backgroundScope.complete(this)
            base.run()
            coroutineContext.job.cancelChildren()
        }
    }

    override suspend fun boundEndpoint(): Endpoint = base.boundEndpoint()

    public fun setFaults(faults: TargetFaults) {
        base.setFaults(faults)
    }

    /** Starts the stream of [message] on the slot of [ticket]; it goes on without a reader. */
    internal suspend fun startStream(ticket: Long, message: RunMessage) {
        state.update { it.copy(streams = it.streams.put(message.streamKey, StreamRecord())) }
        backgroundScope.await().launch {
            val key = message.streamKey
            base.withSlot(ticket, message) {
                generate(message, open = { isOpen(key) }) { text ->
                    state.update { it.onToken(key, text) }
                }
            }
            state.update { it.onStreamEnd(key, StreamPhase.DONE) }
        }
    }

    /** Starts to load [desired]; weights are fetched first, with retries if throttled or failed. */
    internal suspend fun startLoad(desired: EngineState) {
        backgroundScope.await().launch {
            val modelChanges =
                desired.model.isNotEmpty() && desired.model != state.value.actual.model
            while (modelChanges && settings.weights.fetch(desired.model) !is WeightResult.Fetched) {
                if (state.value.desired != desired) return@launch
                delay(WEIGHT_RETRY_DELAY)
            }
            if (modelChanges) delay(settings.loadTime)
            state.update { it.onLoaded(desired) }
        }
    }

    private fun initialState(): EngineStandInState = with(settings) {
        EngineStandInState(PrefixCache(cacheEntries, cacheEventGap), initial, initial)
    }

    private fun isOpen(key: StreamKey): Boolean =
        state.value.streams[key]?.phase == StreamPhase.OPEN

    private suspend fun generate(
        message: RunMessage,
        open: () -> Boolean = { true },
        onToken: (String) -> Unit
    ) {
        prefill(message.input)
        val count = message.maximumTokens.takeIf { it > 0 } ?: settings.defaultTokens
        var index = 0
        while (index < count && open()) {
            base.simulateWork(tokenTime())
            onToken(if (index == 0) "${settings.target.service}(${message.input})" else " $index")
            index++
        }
    }

    private suspend fun prefill(input: String) {
        val prefix = input.take(settings.prefixLength)
        val cached = if (prefix in state.value.cache) prefix.length else 0
        base.simulateWork(settings.promptTime * (input.length - cached))
        val now = clock.now()
        state.update { it.copy(cache = it.cache.onUse(prefix, now)) }
    }

    /** Time of one token: concurrent calls share each step of the batch and slow it down. */
    private fun tokenTime(): Duration =
        settings.tokenTime * (1 + settings.batchSlowdown * (base.runningCalls - 1).coerceAtLeast(0))

    private inner class EngineWork : TargetWork {
        override suspend fun run(message: RunMessage, base: TargetBase): WorkResult {
            val tokens = mutableListOf<String>()
            generate(message) { tokens.add(it) }
            return WorkResult(tokens.joinToString(""), tokens.size)
        }

        override fun refusalReason(): String? =
            if (state.value.actual.model.isEmpty()) "unsupported" else null

        override fun Routing.install(base: TargetBase) {
            engineRoutes(this@EngineStandIn, settings, base)
        }
    }

    private companion object {
        val WEIGHT_RETRY_DELAY = 1.seconds
    }
}
