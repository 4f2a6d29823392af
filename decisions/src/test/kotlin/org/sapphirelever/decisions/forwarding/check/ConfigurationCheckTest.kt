package org.sapphirelever.decisions.forwarding.check

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.sapphirelever.core.CheckCode
import org.sapphirelever.core.OrganisationName
import org.sapphirelever.core.Place
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.BatchLimits
import org.sapphirelever.core.forwarding.CallerLimits
import org.sapphirelever.core.forwarding.ForwardedService
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.forwarding.KeyedOrganisation
import org.sapphirelever.core.forwarding.Repetition
import org.sapphirelever.core.forwarding.Route
import org.sapphirelever.core.forwarding.RouteName
import org.sapphirelever.core.forwarding.RouteStage
import org.sapphirelever.core.forwarding.WeightedService

private val PLACES = FieldPlaces { Place("file", field = it) }
private val ENGINES = ServiceName("engines")
private val STAGES = ServiceName("stages")

private val LIMITS =
    BatchLimits(1, 2, 10, 200.milliseconds, 20.milliseconds, 20_000_000, 4.seconds)

private val ROUTE =
    Route(
        RouteName("chat"),
        "example",
        "/chat/",
        Repetition.RESUMABLE_STREAM,
        timeout = 6.seconds,
        objective = 1.seconds,
        rank = 0,
        services = persistentListOf(WeightedService(ENGINES, 1)),
        maximumAttempts = 2,
        stages = persistentListOf(RouteStage(STAGES, resultBytes = 8_000))
    )

private val SOUND =
    ForwardingConfiguration(
        7,
        persistentListOf(ROUTE),
        persistentListOf(
            ForwardedService(ENGINES, "/health", 100),
            ForwardedService(STAGES, "/health", 100, batching = LIMITS)
        ),
        CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds),
        persistentListOf(KeyedOrganisation(OrganisationName("a"), persistentListOf("key-a")))
    )

private data class CheckCase(
    val name: String,
    val expected: List<String>,
    val change: ForwardingConfiguration.() -> ForwardingConfiguration
)

private data class ComparisonCase(
    val name: String,
    val expected: List<String>,
    val change: ForwardingConfiguration.() -> ForwardingConfiguration
)

private fun ForwardingConfiguration.withRoute(change: Route.() -> Route) =
    copy(routes = persistentListOf(ROUTE.change()))

private fun ForwardingConfiguration.withStages(vararg stages: RouteStage) =
    withRoute { copy(stages = persistentListOf(*stages)) }

private fun ForwardingConfiguration.withBatching(limits: BatchLimits?) =
    copy(services = services.set(1, services[1].copy(batching = limits)))

private fun keyed(vararg keys: Pair<String, PersistentList<String>>) =
    keys.map { (name, held) -> KeyedOrganisation(OrganisationName(name), held) }

/** Guards against configurations that are sent although callers will lose requests by them. */
class ConfigurationCheckTest {
    private val second = ROUTE.copy(name = RouteName("second"))

    private val checks =
        listOf(
            CheckCase("sound", emptyList()) { this },
            CheckCase("same host and prefix", listOf("route-shadowed routes[1].prefix")) {
                copy(routes = routes.add(second.copy(host = "EXAMPLE")))
            },
            CheckCase("longer prefix of the same host", emptyList()) {
                copy(routes = routes.add(second.copy(prefix = "/chat/long/")))
            },
            CheckCase("name twice", listOf("name-repeated routes[1].name")) {
                copy(routes = routes.add(ROUTE.copy(prefix = "/other/")))
            },
            CheckCase("prefix without slash", listOf("prefix-malformed routes[0].prefix")) {
                withRoute { copy(prefix = "/chat") }
            },
            CheckCase(
                "weight 0 beside another",
                listOf("split-without-weight routes[0].services[1].weight")
            ) {
                withRoute { copy(services = services.add(WeightedService(ENGINES, 0))) }
            },
            CheckCase(
                "undeclared service",
                listOf(
                    "service-unknown routes[0].services[0].service",
                    "service-unused services[0]"
                )
            ) {
                withRoute {
                    copy(services = persistentListOf(WeightedService(ServiceName("x"), 1)))
                }
            },
            CheckCase(
                "stage at a service without limits",
                listOf("stage-not-batched routes[0].stages[0].service")
            ) { withBatching(null) },
            CheckCase("stage waits for itself", listOf("stage-order routes[0].stages[0].after")) {
                withStages(RouteStage(STAGES, persistentListOf(0)))
            },
            CheckCase(
                "stages wait for each other",
                listOf("stage-order routes[0].stages[0].after")
            ) {
                withStages(
                    RouteStage(STAGES, persistentListOf(1)),
                    RouteStage(STAGES, persistentListOf(0))
                )
            },
            CheckCase(
                "timeout below the objective",
                listOf("timeout-below-objective routes[0].timeout")
            ) { withRoute { copy(timeout = 0.9.seconds) } },
            CheckCase(
                "timeout below the stages",
                listOf(
                    "timeout-below-objective routes[0].timeout",
                    "timeout-below-stages routes[0].timeout"
                )
            ) { withRoute { copy(timeout = 0.1.seconds) } },
            CheckCase(
                "objective below three stages in a row",
                listOf("objective-below-stages routes[0].objective")
            ) {
                withStages(
                    RouteStage(STAGES),
                    RouteStage(STAGES, persistentListOf(0)),
                    RouteStage(STAGES, persistentListOf(1))
                ).withRouteObjective()
            },
            CheckCase(
                "attempts beyond the timeout",
                listOf("attempts-beyond-timeout routes[0].maximumAttempts")
            ) { withRoute { copy(maximumAttempts = 40) } },
            CheckCase(
                "result too large",
                listOf("result-too-large routes[0].stages[0].resultBytes")
            ) {
                withStages(RouteStage(STAGES, resultBytes = 30_000_000))
            },
            CheckCase(
                "results expire before the next stage ends",
                listOf("result-expires routes[0].stages[0].service")
            ) {
                withStages(RouteStage(STAGES), RouteStage(STAGES, persistentListOf(0)))
                    .withBatching(LIMITS.copy(resultLifetime = 0.1.seconds))
            },
            CheckCase(
                "organisation without keys",
                listOf("organisation-without-keys organisations[1]")
            ) {
                copy(organisations = organisations.addAll(keyed("b" to persistentListOf())))
            },
            CheckCase(
                "names that no head can hold",
                List(3) { "value-out-of-range organisations[${it + 1}].name" }
            ) {
                val names = listOf(" ", "b\r\n", " c")
                val added = names.map { it to persistentListOf("key-$it") }
                copy(organisations = organisations.addAll(keyed(*added.toTypedArray())))
            },
            CheckCase("key of two organisations", listOf("key-shared organisations[1].keys[0]")) {
                copy(organisations = organisations.addAll(keyed("b" to persistentListOf("key-a"))))
            },
            CheckCase("bodies beyond the memory", listOf("body-beyond-memory limits.bodyBytes")) {
                copy(limits = limits.copy(bodyBytes = 50_000_000))
            },
            CheckCase(
                "header slower than idle",
                listOf("header-timeout-beyond-idle limits.headerTimeout")
            ) { copy(limits = limits.copy(headerTimeout = 20.seconds)) },
            CheckCase(
                "no connections",
                listOf("value-out-of-range services[0].maximumConnections")
            ) {
                copy(services = services.set(0, services[0].copy(maximumConnections = 0)))
            }
        )

    private fun ForwardingConfiguration.withRouteObjective() =
        copy(routes = persistentListOf(routes[0].copy(objective = 0.5.seconds)))

    private val comparisons =
        listOf(
            ComparisonCase("nothing but the version", emptyList()) { this },
            ComparisonCase(
                "what callers lose comes before what is added",
                listOf(
                    "route-removed old",
                    "keys-removed organisations[0].keys",
                    "entry-added routes[0]"
                )
            ) {
                copy(
                    routes = persistentListOf(second),
                    organisations =
                        persistentListOf(
                            KeyedOrganisation(OrganisationName("a"), persistentListOf())
                        )
                )
            },
            ComparisonCase("host moves", listOf("route-removed routes[0].prefix")) {
                withRoute { copy(host = "elsewhere") }
            },
            ComparisonCase("timeout shorter", listOf("time-shortened routes[0].timeout")) {
                withRoute { copy(timeout = 5.seconds) }
            },
            ComparisonCase("timeout longer", listOf("other-change routes[0].timeout")) {
                withRoute { copy(timeout = 7.seconds) }
            },
            ComparisonCase("repetition", listOf("repetition-changed routes[0].repetition")) {
                withRoute { copy(repetition = Repetition.STREAM_ONCE) }
            },
            ComparisonCase(
                "services in other shares",
                listOf("services-changed routes[0].services")
            ) {
                withRoute { copy(services = persistentListOf(WeightedService(ENGINES, 2))) }
            },
            ComparisonCase("organisation removed", listOf("organisation-removed old")) {
                copy(organisations = persistentListOf())
            },
            ComparisonCase("bodies smaller", listOf("limit-lowered limits.bodyBytes")) {
                copy(limits = limits.copy(bodyBytes = 1))
            },
            ComparisonCase("older version", listOf("version-not-newer version")) {
                copy(version = 7)
            }
        )

    @Test
    fun `each fault of a configuration is found at its place and nothing else`() {
        for (case in checks) {
            val surroundings =
                CheckSurroundings(40_000_000, setOf(ENGINES, STAGES, ServiceName("x")))
            val found = checkConfiguration(SOUND.(case.change)(), surroundings, PLACES)
            val text = found.map { "${it.code?.text} ${it.place.field}" }
            assertEquals(case.expected.sorted(), text.sorted(), case.name)
        }
    }

    @Test
    fun `each difference is reported in the order of what callers lose`() {
        for (case in comparisons) {
            val after = SOUND.copy(version = 8).(case.change)()
            val found = compareConfigurations(SOUND, after, PLACES, Place("old"))
            val text = found.map {
                "${it.code?.text} ${it.place.field.ifEmpty { it.place.source }}"
            }
            assertEquals(case.expected, text, case.name)
        }
    }

    @Test
    fun `a service without targets is found when the targets are known`() {
        val codes = listOf(setOf(ENGINES), null).map { served ->
            checkConfiguration(SOUND, CheckSurroundings(40_000_000, served), PLACES).map { it.code }
        }
        assertEquals(listOf(listOf(CheckCode.TARGETS_MISSING), emptyList()), codes)
    }

    @Test
    fun `keys are never printed`() {
        val shared =
            SOUND.copy(
                organisations = SOUND.organisations.addAll(keyed("b" to persistentListOf("key-a")))
            )
        val found =
            checkConfiguration(shared, CheckSurroundings(40_000_000), PLACES) +
                compareConfigurations(shared, SOUND.copy(version = 8), PLACES, Place("old"))
        assertFalse(found.joinToString().contains("key-a"))
    }
}
