/*
 * Signals to a process that has not read its settings yet.
 */
package org.sapphirelever.cli

import java.io.File
import java.io.FileOutputStream
import java.nio.file.Files
import java.nio.file.StandardCopyOption.REPLACE_EXISTING
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempDirectory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.sapphirelever.core.ExitCode
import org.sapphirelever.platform.POLL_MILLIS
import org.sapphirelever.platform.StoreStandIn
import org.sapphirelever.platform.TEST_TIMEOUT
import org.sapphirelever.platform.hostProfile

class SignalAtStartTest {
    private data class Case(
        val signals: List<String>,
        val events: List<String>,
        val exit: ExitCode?
    )

    /**
     * Guards against a process that a signal ends without a log line because it arrives before the
     * settings are read, and against a reload that is lost then.
     */
    @Test
    fun `a signal that comes before the settings are read has its effect`() {
        listOf(
            Case(listOf("HUP"), listOf("host-started", "settings-reloaded"), exit = null),
            Case(
                listOf("TERM"),
                listOf("signal-received phase=starting", "host-stopped code=0"),
                ExitCode.SUCCESS
            ),
            Case(
                listOf("HUP", "INT"),
                listOf("signal-received phase=starting", "host-stopped code=0"),
                ExitCode.SUCCESS
            )
        ).forEach { case -> StoreStandIn(emptyMap()).use { run(case, it) } }
    }

    private fun run(case: Case, store: StoreStandIn) {
        val profile = hostProfile("entry-1", store.endpoint)
        val text = settingsJson(profile, revocationMillis = 5_000)
        val folder = createTempDirectory("start").toFile()
        // The process waits in its first read until the pipe is written.
        val pipe = File(folder, "settings")
        assertEquals(0, ProcessBuilder("mkfifo", pipe.path).start().waitFor())
        val output = File(folder, "log")
        val process = startForward(pipe, profile.metrics.port, output)
        try {
            FileOutputStream(pipe).use { writer ->
                val file = File(folder, "file").apply { writeText(text) }
                Files.move(file.toPath(), pipe.toPath(), REPLACE_EXISTING)
                case.signals.forEach { send(it, process) }
                Thread.sleep(DELIVERY_MILLIS)
                writer.write(text.toByteArray())
            }
            runBlocking(Dispatchers.IO) {
                withTimeout(TEST_TIMEOUT) {
                    while (case.events.any { "event=$it" !in output.readText() }) {
                        assertTrue(
                            process.isAlive || case.exit != null,
                            "${case.signals}: ended with ${process.exitIfEnded()}"
                        )
                        delay(POLL_MILLIS)
                    }
                }
            }
            if (case.exit != null) {
                assertTrue(process.waitFor(TEST_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS))
                assertEquals(case.exit.number, process.exitValue(), "${case.signals}")
            }
        } finally {
            process.destroyForcibly()
        }
    }

    private fun Process.exitIfEnded(): Int? = if (isAlive) null else exitValue()

    private fun send(signal: String, process: Process) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }

    private companion object {
        /** Time in which the process receives a signal. */
        const val DELIVERY_MILLIS = 300L
    }
}
