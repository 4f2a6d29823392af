package org.sapphirelever.core

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a validation that stops at its first error. */
class FindingTest {
    @Test
    fun `all findings are collected with their places`() {
        val findings =
            collectFindings {
                require(condition = false, Place("a.json", 3, "slots")) { "out of range" }
                require(condition = true, Place("a.json", 4, "name")) { "not reported" }
                report(Place("flag", field = "--port"), "missing")
            }
        assertEquals(
            listOf("a.json:3 slots: out of range", "flag --port: missing"),
            findings.map { it.toString() }
        )
    }
}
