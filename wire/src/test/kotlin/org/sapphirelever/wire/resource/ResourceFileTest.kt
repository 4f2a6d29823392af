package org.sapphirelever.wire.resource

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

private data class FileCase(val name: String, val text: String, val findings: List<String>)

/** Guards against findings that mask each other, or that point to the wrong line. */
class ResourceFileTest {
    private val cases =
        listOf(
            FileCase("empty object", "{}", emptyList()),
            FileCase("a list instead of an object", "\n[]", listOf("f.json:2: must be an object")),
            FileCase(
                "structural errors",
                """
                {
                  "services": [
                    {"name": "a", "typ": "plain",
                     "slots": "8"},
                    {"name": "b \" {", "type": "plain", "idempotent": 1}
                  ]
                }
                """.trimIndent(),
                listOf(
                    "f.json:3 services[0].typ: unknown field; expected one of name, type, " +
                        "idempotent, slots, honoursFencing, model, minimumTargets",
                    "f.json:3 services[0].type: missing",
                    "f.json:4 services[0].slots: must be a number",
                    "f.json:5 services[1].idempotent: must be true or false"
                )
            ),
            FileCase(
                "semantic errors",
                """
                {"services": [{"name": "a", "type": "plane", "slots": 0},
                  {"name": "a", "type": "plain", "slots": 5000}],
                 "pipelines": [
                  {"name": "p", "deadlineMillis": 1,
                   "stages": [
                    {"name": "x", "service": "a"},
                    {"name": "y",
                     "service": "none"},
                    {"name": "z", "service": "a", "maximumTokens": -1}]}],
                 "organisations": [{"name": "Big", "priority": "high",
                   "weight": 0}]}
                """.trimIndent(),
                listOf(
                    "f.json:1 services[0].type: unknown type 'plane'; expected one of engine, " +
                        "encoder, retriever, reranker, plain",
                    "f.json:2 services[1].name: 'a' is declared twice",
                    "f.json:2 services[1].slots: slots 5000 is outside 1..1024",
                    "f.json:4 pipelines[0].deadlineMillis: deadline 1ms is outside 10ms..10m",
                    "f.json:8 pipelines[0].stages[1].service: service 'none' is not declared",
                    "f.json:9 pipelines[0].stages[2].maximumTokens: " +
                        "maximumTokens -1 is outside 0..32768",
                    "f.json:10 organisations[0].priority: unknown priority 'high'; " +
                        "expected one of interactive, standard, batch",
                    "f.json:10 organisations[0].name: name 'Big' must be lower-case letters, " +
                        "digits and hyphens, at most 63",
                    "f.json:11 organisations[0].weight: weight 0 is outside 1..1000"
                )
            )
        )

    @Test
    fun `all findings are reported with line and field`() {
        for (case in cases) {
            val file = readResourceFile("f.json", case.text)
            assertEquals(case.findings, file.findings.map { it.toString() }, case.name)
        }
    }

    @Test
    fun `a syntax error is reported with its line`() {
        for (text in listOf("{\n\"services\": [\n{]}", "{\n\n\"services\" []}")) {
            val finding = readResourceFile("f.json", text).findings.single()
            assertEquals(3, finding.place.line, finding.toString())
        }
    }

    @Test
    fun `the deployments of this repository are valid`() {
        for (name in listOf("kennel-office", "strap-menders")) {
            val text = File("../deployments/$name.json").readText()
            assertEquals(emptyList(), readResourceFile(name, text).findings.toList())
        }
    }
}
