/*
 * Commands that send requests and load, and that print explanations and burn reports.
 */
package org.sapphirelever.cli

import io.ktor.http.HttpMethod
import java.io.File
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.Endpoint
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.Priority
import org.sapphirelever.core.settings.ChoiceType
import org.sapphirelever.core.settings.DecimalType
import org.sapphirelever.core.settings.EndpointType
import org.sapphirelever.core.settings.ListType
import org.sapphirelever.core.settings.MillisecondsType
import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SwitchType
import org.sapphirelever.core.settings.TextType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.optional
import org.sapphirelever.core.settings.required
import org.sapphirelever.core.settings.settings
import org.sapphirelever.decisions.burn.BurnHistory
import org.sapphirelever.decisions.burn.Objective
import org.sapphirelever.decisions.burn.report
import org.sapphirelever.load.http.HttpLoad
import org.sapphirelever.load.http.LoadSettings
import org.sapphirelever.load.report.burnPage
import org.sapphirelever.load.report.burnTable
import org.sapphirelever.wire.ErrorMessage
import org.sapphirelever.wire.KeyMessage
import org.sapphirelever.wire.KeyRequestMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.OutcomeMessage
import org.sapphirelever.wire.ReportMessage
import org.sapphirelever.wire.RequestMessage
import org.sapphirelever.wire.toHistory

private const val MAXIMUM_DURATION_MILLIS = 600_000L
private const val MAXIMUM_RATE = 100_000.0
private const val DEFAULT_RATE = 50.0

private val PIPELINE = required("pipeline", NameType, "pipeline to run")
private val ORGANISATION = required("organisation", NameType, "organisation that sends the request")
private val INPUT = required("input", TextType, "input of the first stage")
private val DEADLINE =
    defaulted(
        "deadline",
        MillisecondsType(1L..MAXIMUM_DURATION_MILLIS),
        4.seconds,
        "time within which the answer must be complete"
    )
private val PRIORITY =
    optional("priority", ChoiceType(Priority.entries.map { it.text }), "priority class")
private val KEY = optional("key", TextType, "key of an earlier request that this one repeats")
private val NEW_KEY =
    defaulted(
        "new-key",
        SwitchType,
        false,
        "get a key from the host, so that the request runs at most once"
    )
private val HOSTS = required("entry-hosts", ListType(EndpointType), "entry hosts to call, in turn")

/** Sends one request. */
public object RequestCommand : Command {
    override val name: String get() = "request"
    override val summary: String get() = "Sends one request and prints its outcome."
    override val settings: SettingGroup =
        CLIENT_SETTINGS +
            settings {
                +PIPELINE
                +ORGANISATION
                +INPUT
                +DEADLINE
                +PRIORITY
                +KEY
                +NEW_KEY
            }

    override suspend fun run(invocation: Invocation): ExitCode = invocation.withClient { client ->
        val values = invocation.values
        val key = if (values[NEW_KEY]) fetchKey(client, values[ORGANISATION]) else values.find(KEY)
        val message =
            RequestMessage(
                pipeline = values[PIPELINE],
                organisation = values[ORGANISATION],
                deadlineMillis = values[DEADLINE].inWholeMilliseconds,
                input = values[INPUT],
                priority = values.find(PRIORITY),
                key = key
            )
        val reply = client.submit("/v1/requests", MessageJson.encodeToString(message))
        invocation.print(reply)
        if (outcomeOf(reply) == "complete") ExitCode.SUCCESS else ExitCode.FAILURE
    }

    private suspend fun fetchKey(client: OperatorClient, organisation: String): String {
        val body = MessageJson.encodeToString(KeyRequestMessage(organisation))
        return MessageJson
            .decodeFromString<KeyMessage>(client.call(HttpMethod.Post, "/v1/keys", body))
            .key
    }

    /** Outcome of a reply; error replies lack required fields of [OutcomeMessage]. */
    private fun outcomeOf(reply: String): String? = try {
        MessageJson.decodeFromString<OutcomeMessage>(reply).outcome
    } catch (_: IllegalArgumentException) {
        MessageJson.decodeFromString<ErrorMessage>(reply).outcome
    }
}

/** Prints how a recent request was served. */
public object ExplainCommand : Command {
    override val name: String get() = "explain"
    override val summary: String get() = "Prints stages, attempts and outcome of a recent request."
    override val settings: SettingGroup get() = CLIENT_SETTINGS
    override val arguments: List<ArgumentDeclaration> =
        listOf(ArgumentDeclaration("REQUEST", "identifier of the request, from its reply"))

    override suspend fun run(invocation: Invocation): ExitCode {
        val path = "/v1/requests/${invocation.argument("REQUEST")}/explanation"
        invocation.print(invocation.withClient { it.call(HttpMethod.Get, path) })
        return ExitCode.SUCCESS
    }
}

/** Sends an open-loop load. */
public object LoadCommand : Command {
    private val rate =
        defaulted("rate", DecimalType(0.1..MAXIMUM_RATE, "requests/s"), DEFAULT_RATE, "mean rate")
    private val length =
        defaulted(
            "length",
            MillisecondsType(1L..MAXIMUM_DURATION_MILLIS),
            10.seconds,
            "time for which requests are sent"
        )
    private val pipelines = required("pipelines", MixType, "pipelines to run, with weights")
    private val organisations =
        required("organisations", MixType, "organisations that send requests, with weights")
    private val keyed =
        defaulted(
            "keyed",
            ListType(NameType),
            emptyList(),
            "pipelines whose requests each use a new key"
        )
    private val seed =
        defaulted("seed", NumberType(0L..Long.MAX_VALUE, "number"), 1L, "seed of the arrivals")
    private val jsonFile = optional("json", TextType, "file for the result as JSON")
    private val strict =
        defaulted("strict", SwitchType, false, "fail unless each request is answered completely")

    override val name: String get() = "load"
    override val summary: String
        get() = "Sends requests at planned times and prints outcomes and latencies by stage."
    override val settings: SettingGroup =
        settings {
            +HOSTS
            +rate
            +length
            +pipelines
            +organisations
            +keyed
            +DEADLINE
            +seed
            +jsonFile
            +strict
        }

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val plan =
            LoadSettings(
                rate = values[rate],
                length = values[length],
                pipelines = values[pipelines],
                organisations = values[organisations],
                keyed = values[keyed].toSet(),
                deadline = values[DEADLINE],
                seed = values[seed]
            )
        val result = HttpLoad(values[HOSTS], plan).run()
        invocation.output.print(result.table())
        values.find(jsonFile)?.let { File(it).writeText(MessageJson.encodeToString(result)) }
        val failed = result.foreign > 0 || (values[strict] && !result.allComplete)
        return if (failed) ExitCode.FAILURE else ExitCode.SUCCESS
    }
}

/** Prints how fast the given hosts together spend the error budget. */
public object ReportCommand : Command {
    private val htmlFile = optional("html", TextType, "file for the report as HTML with plots")

    override val name: String get() = "report"
    override val summary: String
        get() = "Prints how fast the error budget is spent, and by which stages and errors."
    override val settings: SettingGroup =
        settings {
            +HOSTS
            +CALL_TIMEOUT
            +htmlFile
        }

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val messages = values[HOSTS].map { fetchReport(it, invocation) }
        val history = messages.map { it.toHistory() }.fold(BurnHistory(), BurnHistory::plus)
        val report = history.report(Objective(messages.maxOf { it.objective }), now = 0)
        invocation.output.print(burnTable(report))
        values.find(htmlFile)?.let { File(it).writeText(burnPage(report, history)) }
        return ExitCode.SUCCESS
    }

    private suspend fun fetchReport(host: Endpoint, invocation: Invocation): ReportMessage =
        OperatorClient(host, invocation.values[CALL_TIMEOUT]).use { client ->
            MessageJson.decodeFromString(client.call(HttpMethod.Get, "/v1/report"))
        }
}
