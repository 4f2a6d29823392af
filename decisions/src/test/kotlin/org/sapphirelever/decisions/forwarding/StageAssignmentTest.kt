/*
 * Assignment of services to hosts.
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

    /** Guards against splitting the work of a service among hosts when its first host is lost. */
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

    /** Guards against two hosts that both claim the whole capacity of the targets. */
    @Test
    fun `only the first host assumes that no other host calls the targets`() {
        val service = services.first()
        val order = assignmentOrder(service, hosts)
        val cases = mapOf(order[0] to 1, order[1] to 2, order[3] to 2)
        cases.forEach { (host, callingHosts) ->
            assertEquals(callingHosts, expectedCallingHosts(service, hosts, host), host.value)
        }
    }
}
