/*
 * Sub-commands of the first path: entry host, stand-ins and the apply call of the operator client.
 */
package org.sapphirelever.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import java.io.File
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import org.kohsuke.args4j.Option
import org.sapphirelever.core.DataCentre
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.platform.HttpPlatform
import org.sapphirelever.runtime.host.EntryHost
import org.sapphirelever.runtime.host.HostSettings
import org.sapphirelever.runtime.target.HttpTargetClient
import org.sapphirelever.standins.PlatformStandIn
import org.sapphirelever.standins.PoolStandIn
import org.sapphirelever.wire.ApplyMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.ResourcesMessage

private const val LOOPBACK = "127.0.0.1"
private const val EXIT_SUCCESS = 0
private const val EXIT_FAILURE = 1

/** Runs an entry host. */
public class HostCommand : Command {
    @Option(name = "--host", required = true, usage = "name of this host")
    public var host: String = ""

    @Option(name = "--data-centre", required = true, usage = "data centre of this host")
    public var dataCentre: String = ""

    @Option(name = "--http-port", required = true, usage = "port for callers and operators")
    public var httpPort: Int = 0

    @Option(name = "--peer-port", usage = "port for other entry hosts")
    public var peerPort: Int = 0

    @Option(name = "--platform-port", required = true, usage = "port of the platform")
    public var platformPort: Int = 0

    override fun run(): Int = runBlocking {
        val settings =
            HostSettings(
                host = HostId(host),
                dataCentre = DataCentre(dataCentre),
                http = Endpoint(LOOPBACK, httpPort),
                peer = Endpoint(LOOPBACK, peerPort),
                platform = Endpoint(LOOPBACK, platformPort)
            )
        EntryHost(settings, HttpPlatform(settings.platform), HttpTargetClient()).run()
        EXIT_SUCCESS
    }
}

/** Runs the stand-in for the platform. */
public class PlatformStandInCommand : Command {
    @Option(name = "--port", required = true, usage = "port to serve on")
    public var port: Int = 0

    override fun run(): Int = runBlocking {
        PlatformStandIn(Endpoint(LOOPBACK, port)).run()
        EXIT_SUCCESS
    }
}

/** Runs a stand-in for a target of a pool or plain service. */
public class PoolStandInCommand : Command {
    @Option(name = "--port", required = true, usage = "port to serve on")
    public var port: Int = 0

    @Option(name = "--service", required = true, usage = "name of the service")
    public var service: String = ""

    @Option(name = "--slots", usage = "calls that run at once")
    public var slots: Int = DEFAULT_SLOTS

    @Option(name = "--millis", usage = "service time of a call in milliseconds")
    public var millis: Long = DEFAULT_MILLIS

    override fun run(): Int = runBlocking {
        val endpoint = Endpoint(LOOPBACK, port)
        PoolStandIn(endpoint, service, slots, slots, millis.milliseconds).run()
        EXIT_SUCCESS
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val DEFAULT_MILLIS = 20L
    }
}

/** Applies a resource file. */
public class ApplyCommand : Command {
    @Option(name = "--http-port", required = true, usage = "port of an entry host")
    public var httpPort: Int = 0

    @Option(name = "--file", required = true, usage = "resource file")
    public var file: String = ""

    override fun run(): Int = runBlocking {
        val resources = MessageJson.decodeFromString<ResourcesMessage>(File(file).readText())
        val message = ApplyMessage(UUID.randomUUID().toString(), resources)
        HttpClient(CIO) { expectSuccess = false }.use { client ->
            val response =
                client.post("http://$LOOPBACK:$httpPort/v1/resources/apply") {
                    setBody(MessageJson.encodeToString(message))
                }
            println(response.bodyAsText())
            if (response.status.value == HTTP_OK) EXIT_SUCCESS else EXIT_FAILURE
        }
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
