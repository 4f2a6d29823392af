/*
 * Stand-in for a target of a pool (encoder, retriever, reranker) or of a plain service: the time of
 * a call grows with the length of its input.
 */
package org.sapphirelever.standins

import kotlin.time.Duration
import org.sapphirelever.core.Endpoint
import org.sapphirelever.wire.RunMessage

/** A target whose calls take [serviceTime] and [timePerCharacter] for each character of input. */
public class PoolStandIn(
    settings: TargetSettings,
    private val serviceTime: Duration,
    private val timePerCharacter: Duration = Duration.ZERO
) : StandIn {
    private val base = TargetBase(settings, PoolWork(settings.service))

    public val incarnation: String get() = base.incarnation
    public val runs: RunsMessage get() = base.runs

    public constructor(
        endpoint: Endpoint,
        service: String,
        slots: Int,
        queueLimit: Int,
        serviceTime: Duration
    ) : this(TargetSettings(endpoint, service, slots, queueLimit), serviceTime)

    override suspend fun run() {
        base.run()
    }

    override suspend fun boundEndpoint(): Endpoint = base.boundEndpoint()

    public fun setFaults(faults: TargetFaults) {
        base.setFaults(faults)
    }

    private inner class PoolWork(private val service: String) : TargetWork {
        override suspend fun run(message: RunMessage, base: TargetBase): WorkResult {
            base.simulateWork(serviceTime + timePerCharacter * message.input.length)
            return WorkResult("$service(${message.input})")
        }
    }
}
