/*
 * A host under test as a separate process with a small heap and few descriptors, and what the tests
 * check of it.
 */
package org.sapphirelever.cli

import java.io.Closeable
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.io.path.createTempFile
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.sapphirelever.core.Endpoint
import org.sapphirelever.platform.POLL_MILLIS

/** Runs the program with [arguments]; the kernel limits its descriptors. */
internal class CrowdProcess(arguments: List<String>) : Closeable {
    private val output = createTempFile("host", ".log").toFile()
    private val process = start(arguments)
    private var peakMemoryMegabytes = 0L
    private var peakDescriptors = 0

    /**
     * Lets the crowd of [case] call [path] at [endpoint] and returns what is wrong with the host
     * then. [ordinary] requests must be answered with 200 while the connections are still open and
     * after they have been closed.
     */
    suspend fun faultsAfter(
        case: CrowdCase,
        endpoint: Endpoint,
        path: String,
        ordinary: List<OrdinaryRequest>
    ): List<String> = coroutineScope {
        val sampling = launch(Dispatchers.IO) { sample() }
        val answered =
            CallerCrowd(case, endpoint, path).use { crowd ->
                withContext(Dispatchers.IO) { crowd.send() }
                ordinary.map { "beside the crowd: $it" to isAnswered(it) }
            } + ordinary.map { "after the crowd: $it" to isAnswered(it) }
        sampling.cancel()
        val failures = answered.filterNot { it.second }.map { "not answered ${it.first}" }
        (failures + faults()).map { "$case at $endpoint$path: $it" }
    }

    /** What is wrong with the process, apart from its answers. */
    private fun faults(): List<String> = listOfNotNull(
        "ended with ${process.runCatching { exitValue() }.getOrNull()}".takeIf { !process.isAlive },
        "OutOfMemoryError in the log".takeIf { "OutOfMemoryError" in output.readText() },
        "$peakMemoryMegabytes MB of memory".takeIf { peakMemoryMegabytes > MAXIMUM_MEGABYTES },
        "$peakDescriptors descriptors".takeIf { peakDescriptors > MAXIMUM_DESCRIPTORS }
    )

    /** Repeats [request] as its caller would, until it is answered. */
    private suspend fun isAnswered(request: OrdinaryRequest): Boolean =
        withTimeoutOrNull(ANSWER_TIMEOUT_MILLIS) { awaitAnswer(request) } == true

    /** Repeats [request] until it is answered; false if the process ends instead. */
    suspend fun awaitAnswer(request: OrdinaryRequest): Boolean {
        while (process.isAlive && request.status() != 200) delay(POLL_MILLIS)
        return process.isAlive
    }

    private suspend fun sample() {
        val directory = File("/proc/${process.pid()}")
        while (true) {
            val descriptors = File(directory, "fd").list()?.size ?: 0
            peakDescriptors = maxOf(peakDescriptors, descriptors)
            peakMemoryMegabytes = maxOf(peakMemoryMegabytes, residentMegabytes(directory))
            delay(POLL_MILLIS)
        }
    }

    private fun residentMegabytes(directory: File): Long = try {
        val line = File(directory, "status").readLines().first { it.startsWith("VmRSS") }
        line.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
    } catch (_: IOException) {
        // The process has ended, which is reported on its own.
        0
    } catch (_: NoSuchElementException) {
        0
    }

    private fun start(arguments: List<String>): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("java.class.path")
        val program =
            listOf(java, "-Xmx${HEAP_MEGABYTES}m") + JVM_OPTIONS +
                listOf("-cp", classPath, "org.sapphirelever.cli.MainKt") + arguments
        val limit = "ulimit -n $CROWD_DESCRIPTORS; exec \"\$@\""
        return ProcessBuilder(listOf("sh", "-c", limit, "sh") + program)
            .redirectErrorStream(true)
            .redirectOutput(output)
            .start()
    }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val HEAP_MEGABYTES = 64

        /** The options of `deploy/system.toml`. */
        val JVM_OPTIONS = listOf("-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Classes, compiled code, stacks and buffers outside the heap. */
        const val MEGABYTES_OUTSIDE_HEAP = 128
        const val MAXIMUM_MEGABYTES = HEAP_MEGABYTES + MEGABYTES_OUTSIDE_HEAP

        /** The host keeps a tenth of its descriptors for its own connections. */
        const val MAXIMUM_DESCRIPTORS = CROWD_DESCRIPTORS * 9 / 10
        const val ANSWER_TIMEOUT_MILLIS = 15_000L
        const val KILOBYTES_PER_MEGABYTE = 1_024
    }
}

/** A request inside all limits that a host answers with 200. */
internal class OrdinaryRequest(private val endpoint: Endpoint, private val text: String) {
    /** Sends the request on a new connection; 0 if no answer arrives. */
    suspend fun status(): Int = withContext(Dispatchers.IO) {
        try {
            Socket().use { socket ->
                socket.connect(InetSocketAddress(endpoint.address, endpoint.port), TIMEOUT_MILLIS)
                socket.soTimeout = TIMEOUT_MILLIS
                socket.getOutputStream().write(text.toByteArray())
                val line = socket.getInputStream().bufferedReader().readLine()
                line?.split(' ')?.get(1)?.toInt() ?: 0
            }
        } catch (_: IOException) {
            0
        }
    }

    override fun toString(): String = text.substringBefore(" HTTP")

    private companion object {
        const val TIMEOUT_MILLIS = 2_000
    }
}
