package org.sapphirelever.cli

import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.net.ServerSocket
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.ExitCode
import org.sapphirelever.wire.MessageJson

private data class ProgramCase(
    val name: String,
    val line: String,
    val exit: ExitCode,
    val printed: List<String>,
    val environment: Map<String, String> = emptyMap()
)

private fun route(name: String, service: String): String =
    """{"name": "$name", "host": "h", "prefix": "/$name/", "kind": "idempotent",
 "timeout-ms": 1500, "slo-ms": 120, "anonymous": true,
 $service}"""

/** A configuration whose route `chat` goes to [service]. */
private fun configurationFile(version: Int, service: String, otherRoutes: String = "") =
    createTempFile("configuration", ".json").apply {
        writeText(
            """{"version": $version, "routes": [${route("chat", service)}$otherRoutes],
 "services": [{"name": "a"}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
  "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}"""
        )
    }

/** Guards against changed exit codes and messages that scripts of operators rely on. */
class ProgramTest {
    private val invalid =
        createTempFile("resources", ".json").apply {
            writeText("{\"services\": [{\"name\": \"A\",\n \"type\": \"plane\"}]}")
        }
    private val configuration =
        configurationFile(7, "\"service\": \"a\"", """, ${route("status", "\"service\": \"a\"")}""")
    private val changed =
        configurationFile(
            8,
            """"traffic-split": [{"service": "a", "weight": 1}, {"service": "a", "weight": 0}]"""
        )
    private val broken =
        createTempFile("configuration", ".json").apply { writeText("{\"routes\": [{}]}") }
    private val unusedPort = ServerSocket(0).use { it.localPort }
    private val host =
        "host --host a --data-centre b --http-port 8080 --peer-port 8081 --platform 127.0.0.1:1"

    private val cases =
        listOf(
            ProgramCase("no command", "", ExitCode.USAGE, listOf("usage: sapphirelever COMMAND")),
            ProgramCase("help", "--help", ExitCode.SUCCESS, COMMANDS.map { it.summary }),
            ProgramCase("unknown", "hots", ExitCode.USAGE, listOf("unknown command 'hots'")),
            ProgramCase("unknown flag", "host --prot 1", ExitCode.USAGE, listOf("--prot")),
            ProgramCase("flag without value", "host --host", ExitCode.USAGE, listOf("--host")),
            ProgramCase("missing argument", "get services", ExitCode.USAGE, listOf("NAME")),
            ProgramCase(
                "all findings of settings",
                "host --http-port 0 --peer-port 99999 --data-centre X",
                ExitCode.INVALID_SETTING,
                listOf(
                    "flag --host: missing",
                    "flag --data-centre: 'X' is not valid",
                    "flag --http-port: '0' is not valid",
                    "flag --peer-port: '99999' is not valid",
                    "flag --platform: missing",
                    "environment SAPPHIRELEVER_DRAIN_LIMIT: '-1' is not valid",
                    "environment SAPPHIRELEVER_DRAINLIMIT: no setting has this variable"
                ),
                mapOf("SAPPHIRELEVER_DRAIN_LIMIT" to "-1", "SAPPHIRELEVER_DRAINLIMIT" to "1")
            ),
            ProgramCase(
                "variable of another command",
                "$host --check-only",
                ExitCode.SUCCESS,
                listOf("settings are valid"),
                mapOf("SAPPHIRELEVER_OUTPUT" to "json")
            ),
            ProgramCase(
                "check across settings",
                "$host --check-only",
                ExitCode.INVALID_SETTING,
                listOf("--peer-port: must differ from --http-port"),
                mapOf("SAPPHIRELEVER_PEER_PORT" to "1")
            ).let { it.copy(line = it.line.replace("8081", "8080")) },
            ProgramCase(
                "valid file",
                "check ../deployments/kennel-office.json",
                ExitCode.SUCCESS,
                listOf("8 services, 3 pipelines, 5 organisations")
            ),
            ProgramCase(
                "invalid file",
                "check $invalid",
                ExitCode.FAILURE,
                listOf("$invalid:1 services[0].name", "$invalid:2 services[0].type")
            ),
            ProgramCase(
                "unknown experiment",
                "experiment --names none",
                ExitCode.INVALID_SETTING,
                listOf("unknown experiment 'none'")
            ),
            ProgramCase(
                "faults of a stand-in",
                "engine-standin --ports 1 --service a --slow-factor -1",
                ExitCode.INVALID_SETTING,
                listOf("flag --slow-factor: '-1' is not valid")
            ),
            ProgramCase("no file", "check /none", ExitCode.UNREADABLE, listOf("/none")),
            ProgramCase(
                "sound configuration against the same version",
                "check $configuration --against $configuration",
                ExitCode.FAILURE,
                listOf("[version-not-newer] version 7", "1 findings, 0 differences")
            ),
            ProgramCase(
                "configuration that loses a route",
                "check $changed --against $configuration",
                ExitCode.FAILURE,
                listOf(
                    "$changed:3 routes[0].traffic-split[1].weight: [split-without-weight]",
                    "$configuration: [route-removed] route 'status'",
                    "1 findings, 2 differences"
                )
            ),
            ProgramCase(
                "configuration as JSON",
                "check $changed --format json",
                ExitCode.FAILURE,
                listOf("\"code\":\"split-without-weight\"", "\"line\":3", "\"differences\":[]")
            ),
            ProgramCase(
                "sound configuration",
                "check $configuration",
                ExitCode.SUCCESS,
                listOf("0 findings")
            ),
            ProgramCase(
                "broken configuration",
                "check $broken",
                ExitCode.UNREADABLE,
                listOf("$broken:")
            ),
            ProgramCase(
                "store without its settings",
                "check $configuration --against store",
                ExitCode.INVALID_SETTING,
                listOf("--settings: needed to read the store")
            ),
            ProgramCase(
                "no entry host",
                "status --entry-host 127.0.0.1:$unusedPort",
                ExitCode.UNAVAILABLE,
                listOf("does not answer")
            )
        )

    @Test
    fun `each command line ends with its exit code and message`() {
        for (case in cases) {
            val bytes = ByteArrayOutputStream()
            val stream = PrintStream(bytes)
            val line = case.line.split(' ').filter { it.isNotEmpty() }
            val exit = Program(case.environment, stream, stream).run(line)
            assertEquals(case.exit, exit, "${case.name}: $bytes")
            case.printed.forEach { assertTrue(it in bytes.toString(), "${case.name}: $bytes") }
        }
    }

    @Test
    fun `the help of each command lists all its settings with type and variable`() {
        for (command in COMMANDS) {
            val bytes = ByteArrayOutputStream()
            val exit = Program(emptyMap(), PrintStream(bytes), System.err)
                .run(listOf(command.name, HELP_FLAG))
            assertEquals(ExitCode.SUCCESS, exit)
            command.settings.settings.forEach {
                assertTrue("${it.flag} " in bytes.toString(), "${command.name} ${it.flag}")
                assertTrue("[${it.environment}]" in bytes.toString(), it.environment)
                assertTrue(it.type.expected in bytes.toString(), it.flag)
            }
        }
    }

    @Test
    fun `the documentation lists exactly the error and exit codes of the program`() {
        val page = File("../docs/errors.md").readLines()
        val codes =
            ErrorCode.entries.map { "| `${it.text}` | ${it.httpStatus} | ${it.meaning} |" }
        val checkCodes =
            CheckCode.entries.map { "| `${it.text}` | ${it.group.text} | ${it.meaning} |" }
        assertEquals(codes + checkCodes, page.filter { it.startsWith("| `") })
        val exits = ExitCode.entries.map { "| ${it.number} | ${it.meaning} |" }
        assertEquals(exits, page.filter { Regex("\\| \\d+ \\| .*").matches(it) })
    }

    @Test
    fun `a reply is printed as a table`() {
        val json = """{"a":1,"b":[{"x":"p","y":[1,2]},{"x":"qq"}],"c":{"d":"e"}}"""
        val element = MessageJson.parseToJsonElement(json)
        val expected =
            "a                  1\nc:\n  d                  e\nb:\n  x   y\n  p   1,2\n  qq\n"
        assertEquals(expected, tableOf(element))
    }
}
