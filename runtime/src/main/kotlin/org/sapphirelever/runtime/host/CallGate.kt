/*
 * Interceptor of the calls of callers and operators: counts them for the graceful shutdown,
 * refuses them while the host stops, and answers those that its end cancels. Health, readiness,
 * metrics and watches bypass it.
 */
package org.sapphirelever.runtime.host

import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.routing.application
import org.sapphirelever.runtime.http.Routes
import org.sapphirelever.runtime.http.answer

/** Passes each call through [shutdown]. It must be installed before all other routes. */
internal fun callGate(shutdown: GracefulShutdown): Routes = Routes {
    application.intercept(ApplicationCallPipeline.Plugins) {
        val path = call.request.path()
        if (!isCounted(path)) return@intercept proceed()
        val label = "${call.request.httpMethod.value} $path"
        answer(call) { shutdown.admit(label) { shutdown.cancelledAtEnd { proceed() } } }
        // A refused call has been answered already and must not reach its route.
        finish()
    }
}

/** Watches are not counted: they end with the server and would use up the whole drain limit. */
private fun isCounted(path: String): Boolean = path.startsWith("/v1/") && !path.endsWith("/watch")
