/*
 * Gate in front of all calls of callers and operators: counts them for the graceful shutdown and
 * refuses them while the host stops. Health, readiness, metrics and watches pass freely.
 */
package org.sapphirelever.runtime.host

import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.routing.application
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer

/** Routes the calls of the front end through [shutdown]. It precedes all other routes. */
internal fun callGate(shutdown: GracefulShutdown): Routes = Routes {
    application.intercept(ApplicationCallPipeline.Plugins) {
        val path = call.request.path()
        if (!isWork(path)) return@intercept proceed()
        val label = "${call.request.httpMethod.value} $path"
        answer(call) { shutdown.admit(label) { proceed() } }
        // A refused call has its answer and must not reach its route.
        finish()
    }
}

/** Watches end with the server; waiting for them would take the whole drain limit. */
private fun isWork(path: String): Boolean = path.startsWith("/v1/") && !path.endsWith("/watch")
