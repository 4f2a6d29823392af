/*
 * The host that makes the calls of a service.
 */
package org.sapphirelever.decisions.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.HostId
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.HostAnnouncement

class StageAssignmentTest {
    private val announcement = HostAnnouncement(Endpoint("127.0.0.1", 1), 100)
    private val hosts =
        listOf("entry-1", "entry-2", "entry-3", "entry-4").associate { HostId(it) to announcement }
    private val services = List(20) { ServiceName("service-$it") }

    /** Guards against hosts that split the work of a service when the first one is lost. */
    @Test
    fun `hosts that lose the first one agree on the next`() {
        services.forEach { service ->
            val order = assignmentOrder(service, hosts)
            assertEquals(order, assignmentOrder(service, hosts.toList().reversed().toMap()))
            assertEquals(order.drop(1), assignmentOrder(service, hosts - order.first()))
        }
    }

    /** Guards against a small host that makes the calls of a whole service. */
    @Test
    fun `small hosts come last`() {
        val small = hosts.keys.take(2).associateWith { announcement.copy(capacityPercent = 36) }
        services.forEach { service ->
            val order = assignmentOrder(service, hosts + small)
            assertEquals(small.keys, order.drop(2).toSet())
            assertEquals(order.take(2), assignmentOrder(service, hosts).filterNot { it in small })
        }
    }

    /** Guards against full use of the targets by two hosts at the same time. */
    @Test
    fun `only the first host counts on being alone`() {
        val service = services.first()
        val order = assignmentOrder(service, hosts)
        val cases = mapOf(order[0] to 1, order[1] to 2, order[3] to 2)
        cases.forEach { (host, sharers) ->
            assertEquals(sharers, expectedSharers(service, hosts, host), host.value)
        }
    }
}
