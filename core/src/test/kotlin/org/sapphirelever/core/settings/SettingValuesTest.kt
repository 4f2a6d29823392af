package org.sapphirelever.core.settings

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap

private val HOST = required("host", NameType, "name")
private val PORT = required("http-port", PortType, "port")
private val DELAY = defaulted("delay", MillisecondsType(0L..1000L), 1.seconds, "delay")
private val SEEDS = optional("seeds", ListType(EndpointType), "peers")
private val GROUP =
    settings {
        +HOST
        +PORT
        +DELAY
        +SEEDS
    }

private data class SettingsCase(
    val name: String,
    val flags: Map<String, String>,
    val environment: Map<String, String>,
    val findings: List<String>,
    val delayMillis: Long = 1000
)

/** Guards against a wrong precedence of sources and against findings that mask each other. */
class SettingValuesTest {
    private val requiredFlags = mapOf("--host" to "a", "--http-port" to "1")

    private val cases =
        listOf(
            SettingsCase("default", requiredFlags, emptyMap(), emptyList()),
            SettingsCase(
                "environment before default",
                requiredFlags,
                mapOf("SAPPHIRELEVER_DELAY" to "7"),
                emptyList(),
                delayMillis = 7
            ),
            SettingsCase(
                "flag before environment, whose invalid value is ignored",
                requiredFlags + ("--delay" to "8"),
                mapOf("SAPPHIRELEVER_DELAY" to "nonsense"),
                emptyList(),
                delayMillis = 8
            ),
            SettingsCase(
                "all findings are reported together, each with its source",
                mapOf("--http-port" to "70000", "--seeds" to "127.0.0.1:1,localhost:2"),
                mapOf("SAPPHIRELEVER_DELAY" to "2000", "SAPPHIRELEVER_DELAI" to "1"),
                listOf(
                    "flag --host: missing; expected ${NameType.expected}",
                    "flag --http-port: '70000' is not valid; expected port, 1 to 65535",
                    "environment SAPPHIRELEVER_DELAY: '2000' is not valid; " +
                        "expected milliseconds, 0 to 1000",
                    "flag --seeds: '127.0.0.1:1,localhost:2' is not valid; " +
                        "expected ${SEEDS.type.expected}",
                    "environment SAPPHIRELEVER_DELAI: no setting has this variable"
                )
            )
        )

    @Test
    fun `sources are read in order of precedence and all findings are reported`() {
        for (case in cases) {
            val sources =
                SettingSources(case.flags.toPersistentMap(), case.environment.toPersistentMap())
            val result = readSettings(GROUP, sources)
            assertEquals(case.findings, result.findings.map { it.toString() }, case.name)
            if (case.findings.isEmpty()) {
                assertEquals(case.delayMillis.milliseconds, result.validOrThrow()[DELAY], case.name)
            }
        }
    }
}
