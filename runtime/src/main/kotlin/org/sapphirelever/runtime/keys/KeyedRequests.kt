/*
 * Requests with keys. Mints the keys of this incarnation, runs each key at most once, and forwards
 * requests whose keys belong to other incarnations.
 */
package org.sapphirelever.runtime.keys

import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.HostId
import org.sapphirelever.core.MonotonicClock
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Outcome
import org.sapphirelever.core.RetryAdvice
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.decisions.keys.Claim
import org.sapphirelever.decisions.keys.ClaimStatus
import org.sapphirelever.decisions.keys.Fingerprint
import org.sapphirelever.decisions.keys.KeyAction
import org.sapphirelever.decisions.keys.KeyState
import org.sapphirelever.decisions.keys.RequestKey
import org.sapphirelever.decisions.keys.finish
import org.sapphirelever.decisions.keys.handOver
import org.sapphirelever.decisions.keys.mintKey
import org.sapphirelever.decisions.keys.release
import org.sapphirelever.decisions.keys.takeOver
import org.sapphirelever.decisions.keys.use
import org.sapphirelever.runtime.StateCell
import org.sapphirelever.runtime.log.logEvent
import org.sapphirelever.runtime.target.TokenSink
import org.sapphirelever.wire.KeyClaimMessage
import org.sapphirelever.wire.KeyMessage
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.outcomeMessage

/** Checks and runs a request on this host; throws an exception with the code of a failed check. */
public fun interface RequestRunner {
    public suspend fun run(message: RequestMessage, tokens: TokenSink): OutcomeMessage
}

/** Runs and forwards requests with keys; [self] is the incarnation of this host. */
public class KeyedRequests(
    private val host: HostId,
    private val self: KeyOwner,
    private val forwarder: KeyForwarder,
    private val runner: RequestRunner,
    private val clock: MonotonicClock,
    private val random: Random
) : KeyMessageHandler {
    private val state =
        StateCell(KeyState<OutcomeMessage>(self.incarnation, sizeOf = { it.answer?.length ?: 0 }))
    private val running = ConcurrentHashMap<RequestKey, CompletableDeferred<OutcomeMessage>>()

    public fun mint(organisation: OrganisationName): KeyMessage {
        if (state.value.handedOver) throw SapphireleverException(ErrorCode.STOPPING)
        val key = mintKey(self.incarnation, self.peer, organisation, clock.now(), random)
        return KeyMessage(key.encode(), RequestKey.VALIDITY.inWholeMilliseconds)
    }

    /** Runs the request of a caller on this host or on the owner of its key. */
    public suspend fun submit(request: RequestMessage, tokens: TokenSink): OutcomeMessage =
        answer(request, tokens) { key -> forward(key, request) }

    /** Runs a request that another host forwarded; it is never forwarded again. */
    override suspend fun run(request: RequestMessage): OutcomeMessage = try {
        answer(request, TokenSink.NONE) { reply(unknown(ErrorCode.KEY_OWNER_GONE)) }
    } catch (refused: SapphireleverException) {
        reply(Outcome.NotRun(refused.code, RetryAdvice.NEVER, detail = refused.message.orEmpty()))
    }

    /** Permanently stops running requests with keys and returns the claims for a successor. */
    public fun handOver(): KeyHandoverOffer {
        val claims = state.update { it.handOver() }.claims
        val now = clock.now()
        val messages =
            claims.filterValues { now < it.expiresAt }.map { (key, claim) ->
                KeyClaimMessage(
                    key = key.encode(),
                    fingerprint = claim.fingerprint.value,
                    validMillis = (claim.expiresAt - now).inWholeMilliseconds,
                    outcome = (claim.status as? ClaimStatus.Finished)?.outcome
                )
            }
        return KeyHandoverOffer(self, messages)
    }

    override suspend fun takeOver(offer: KeyHandoverOffer): Boolean {
        val now = clock.now()
        val claims =
            offer.claims.mapNotNull { message ->
                RequestKey.parse(message.key)?.let { key ->
                    val status = message.outcome?.let { ClaimStatus.Finished(it) }
                    val expiresAt = now + message.validMillis.milliseconds
                    val fingerprint = Fingerprint(message.fingerprint)
                    key to Claim(fingerprint, expiresAt, status ?: ClaimStatus.Unknown)
                }
            }
        val after = state.update { if (it.handedOver) it else it.takeOver(claims.toMap()) }
        return !after.handedOver
    }

    private suspend fun answer(
        request: RequestMessage,
        tokens: TokenSink,
        onForeignKey: suspend (RequestKey) -> OutcomeMessage
    ): OutcomeMessage {
        val key = parse(request)
        val fingerprint = Fingerprint.of(request.organisation, request.pipeline, request.input)
        if (key.organisation.value != request.organisation) {
            return reply(notRun(ErrorCode.KEY_MISMATCH))
        }
        // Registered while the state is locked, so that later uses of the key find the first one.
        var first: CompletableDeferred<OutcomeMessage>? = null
        val action =
            state.decide { current ->
                current.use(key, fingerprint, clock.now()).also { decision ->
                    first = sharedResult(key, decision.actions.single())
                }
            }.single()
        return when (action) {
            KeyAction.Run -> runClaimed(key, request, tokens, checkNotNull(first))
            KeyAction.Attach -> await(first, request)
            is KeyAction.Replay -> action.outcome
            is KeyAction.RefuseNotRun -> reply(notRun(action.code))
            is KeyAction.RefuseUnknown -> reply(unknown(action.code))
            KeyAction.Forward -> onForeignKey(key)
        }
    }

    private fun sharedResult(
        key: RequestKey,
        action: KeyAction<OutcomeMessage>
    ): CompletableDeferred<OutcomeMessage>? = when (action) {
        KeyAction.Run -> CompletableDeferred<OutcomeMessage>().also { running[key] = it }
        KeyAction.Attach -> running[key]
        else -> null
    }

    private suspend fun runClaimed(
        key: RequestKey,
        request: RequestMessage,
        tokens: TokenSink,
        first: CompletableDeferred<OutcomeMessage>
    ): OutcomeMessage {
        // Result if the run is cancelled, or fails without proof of whether a stage has run.
        var result = reply(unknown(ErrorCode.TARGET_LOST))
        var provenOutcome: OutcomeMessage? = null
        try {
            // Not cancelled with the caller, which may repeat the request to get its outcome.
            result = withContext(NonCancellable) { runner.run(request, tokens.untilFailure()) }
            provenOutcome = result
            return result
        } catch (refused: SapphireleverException) {
            // The runner throws a coded exception only if a check before the first stage fails.
            result = reply(notRun(refused.code))
            provenOutcome = result
            throw refused
        } finally {
            val mayHaveRun = provenOutcome?.outcome != NOT_RUN
            state.update { if (mayHaveRun) it.finish(key, provenOutcome) else it.release(key) }
            running.remove(key, first)
            first.complete(result)
        }
    }

    /** Delivers tokens until the first failure, after which the caller counts as disconnected. */
    private fun TokenSink.untilFailure(): TokenSink {
        if (this === TokenSink.NONE) return this
        var reachable = true
        return TokenSink { index, text ->
            if (reachable) reachable = runCatching { accept(index, text) }.isSuccess
        }
    }

    /** Outcome of the [first] use, or an unknown outcome when the deadline of [request] passes. */
    private suspend fun await(
        first: CompletableDeferred<OutcomeMessage>?,
        request: RequestMessage
    ): OutcomeMessage = withTimeoutOrNull(request.deadlineMillis.milliseconds) { first?.await() }
        ?: reply(unknown(ErrorCode.DEADLINE_EXCEEDED))

    private suspend fun forward(key: RequestKey, request: RequestMessage): OutcomeMessage {
        val owner = KeyOwner(key.incarnation, key.peer)
        val remaining = request.deadlineMillis.milliseconds
        val result =
            withTimeoutOrNull(remaining) { forwarder.forward(owner, request, remaining) }
                ?: ForwardResult.Unclear
        logEvent("request-forwarded") {
            "owner" to owner.incarnation
            "result" to result::class.simpleName
        }
        return when (result) {
            is ForwardResult.Answered -> result.outcome
            ForwardResult.OwnerGone -> reply(unknown(ErrorCode.KEY_OWNER_GONE))
            ForwardResult.Unclear -> reply(unknown(ErrorCode.KEY_OWNER_UNREACHABLE))
        }
    }

    private fun parse(request: RequestMessage): RequestKey =
        request.key?.let { RequestKey.parse(it) }
            ?: throw SapphireleverException(ErrorCode.KEY_MALFORMED)

    private fun notRun(code: ErrorCode): Outcome = Outcome.NotRun(code, RetryAdvice.NEVER)

    private fun unknown(code: ErrorCode): Outcome = Outcome.Unknown(code)

    /** Reply with a new request identifier, for a use of a key that no run has answered. */
    private fun reply(outcome: Outcome): OutcomeMessage =
        outcomeMessage(UUID.randomUUID().toString(), host.value, outcome, emptyList())

    private companion object {
        const val NOT_RUN = "not-run"
    }
}
