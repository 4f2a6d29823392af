package org.sapphirelever.runtime.host

import io.ktor.client.statement.bodyAsText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.runtime.http.outcomeOf
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.MessageJson

private const val REQUESTS = "/v1/requests"
private const val APPLY = "/v1/resources/apply"

private data class BadInputCase(
    val name: String,
    val body: String,
    val code: ErrorCode,
    val path: String = REQUESTS,
    val findings: List<String> = emptyList()
)

/** Guards against input that ends the process, affects other requests or gets no coded error. */
class BadInputTest {
    private fun request(
        pipeline: String = "chat",
        organisation: String = "krakow",
        deadline: String = "4000",
        input: String = "x",
        extraFields: String = ""
    ): String = """{"pipeline":"$pipeline","organisation":"$organisation",
        "deadlineMillis":$deadline,"input":"$input"$extraFields}"""

    private val cases =
        listOf(
            BadInputCase("empty body", "", ErrorCode.MALFORMED_REQUEST),
            BadInputCase("no JSON", "{\"pipeline\":", ErrorCode.MALFORMED_REQUEST),
            BadInputCase("a list", "[]", ErrorCode.MALFORMED_REQUEST),
            BadInputCase("missing field", "{}", ErrorCode.MALFORMED_REQUEST),
            BadInputCase("deep nesting", "[".repeat(4000), ErrorCode.MALFORMED_REQUEST),
            BadInputCase(
                "text as number",
                request(deadline = "\"x\""),
                ErrorCode.MALFORMED_REQUEST
            ),
            BadInputCase("bytes", "\u0000\uFFFD", ErrorCode.MALFORMED_REQUEST),
            BadInputCase(
                "unknown priority",
                request(extraFields = ",\"priority\":\"urgent\""),
                ErrorCode.MALFORMED_REQUEST
            ),
            BadInputCase(
                "oversized body",
                request(input = "x".repeat(TestHost.BODY_LIMIT)),
                ErrorCode.BODY_TOO_LARGE
            ),
            BadInputCase("pipeline", request(pipeline = "none"), ErrorCode.UNKNOWN_PIPELINE),
            BadInputCase(
                "organisation",
                request(organisation = "x"),
                ErrorCode.UNKNOWN_ORGANISATION
            ),
            BadInputCase("no time left", request(deadline = "0"), ErrorCode.DEADLINE_PASSED),
            BadInputCase("deadline passed", request(deadline = "-5"), ErrorCode.DEADLINE_PASSED),
            BadInputCase("no key", request(pipeline = "booking"), ErrorCode.KEY_REQUIRED),
            BadInputCase("apply without JSON", "{", ErrorCode.MALFORMED_REQUEST, APPLY),
            BadInputCase(
                "apply with several faults",
                """{"change":"c","resources":{"services":[{"name":"BAD","type":"plain","slots":0}],
                "organisations":[{"name":"o","weight":0}],
                "pipelines":[{"name":"p","stages":[{"name":"s","service":"none"}]}]}}""",
                ErrorCode.INVALID_RESOURCE,
                APPLY,
                listOf(
                    "services/BAD.name",
                    "services/BAD.slots",
                    "organisations/o.weight",
                    "pipelines/p.stages",
                    "pipelines/p.stages[0].service"
                )
            )
        )

    @Test
    fun `bad input gets a coded error and does not affect other requests`() = withHost { host ->
        val other = async { host.answerTo("hold-other") }
        host.targets.held.await()
        for (case in cases) {
            val reply = host.post(case.path, case.body)
            val text = reply.bodyAsText()
            val error = MessageJson.decodeFromString<ErrorMessage>(text)
            assertEquals(case.code.text, error.code, "${case.name}: $text")
            assertEquals(case.code.httpStatus, reply.status.value, case.name)
            val outcome = if (case.path == REQUESTS) "not-run" else null
            assertEquals(outcome, error.outcome, case.name)
            assertEquals(case.findings.toSet(), error.findings.map { it.field }.toSet(), case.name)
            assertTrue("\"answer\":\"mine\"" in host.answerTo("mine"), case.name)
        }
        host.targets.released.complete(Unit)
        assertTrue("\"answer\":\"hold-other\"" in other.await())
        val metrics = host.get("/metrics").bodyAsText()
        assertTrue("sapphirelever_requests_total{code=\"ok\"" in metrics, metrics)
        assertTrue("\"total\":" in host.get("/v1/report").bodyAsText())
    }

    @Test
    fun `an error that can follow a stage is never reported as a request that did not run`() {
        val unknown =
            listOf(
                ErrorCode.INTERNAL,
                ErrorCode.KEY_EXPIRED,
                ErrorCode.KEY_OWNER_GONE,
                ErrorCode.KEY_OWNER_UNREACHABLE,
                ErrorCode.TARGET_FAILED,
                ErrorCode.TARGET_LOST,
                ErrorCode.TRUNCATED,
                ErrorCode.DEADLINE_EXCEEDED
            )
        unknown.forEach { assertEquals("outcome-unknown", outcomeOf(it), it.text) }
    }
}
