/*
 * Command that checks a file before it is sent: resources of the product, or a configuration of
 * forwarding hosts, also against the version in force.
 */
package org.sapphirelever.cli

import java.io.File
import java.io.IOException
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.CheckGroup
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.Finding
import org.sapphirelever.core.FindingCollector
import org.sapphirelever.core.Place
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.ServiceName
import org.sapphirelever.core.forwarding.ForwardingConfiguration
import org.sapphirelever.core.settings.ChoiceType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.SettingValues
import org.sapphirelever.core.settings.TextType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.optional
import org.sapphirelever.core.settings.settings
import org.sapphirelever.decisions.forwarding.check.CheckSurroundings
import org.sapphirelever.decisions.forwarding.check.checkConfiguration
import org.sapphirelever.decisions.forwarding.check.compareConfigurations
import org.sapphirelever.platform.ConfigurationFile
import org.sapphirelever.platform.StoreClient
import org.sapphirelever.platform.readConfigurationFile
import org.sapphirelever.platform.readHostFile
import org.sapphirelever.runtime.forward.StoreEntry
import org.sapphirelever.runtime.transport.MessageMemory
import org.sapphirelever.runtime.transport.Sockets
import org.sapphirelever.wire.CheckReportMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.resource.readResourceFile
import org.sapphirelever.wire.toCheckFindingMessage

/** Checks a file without changing anything. */
public object CheckCommand : Command {
    private const val STORE = "store"
    private const val JSON = "json"
    private const val DEFAULT_HEAP_MEGABYTES = 160L
    private const val MAXIMUM_HEAP_MEGABYTES = 1_048_576L
    private const val BYTES_PER_MEGABYTE = 1_048_576L

    private val against =
        optional(
            "against",
            TextType,
            "compare with this file, or with the version in force if it is '$STORE'"
        )
    private val settingsFile =
        optional("settings", TextType, "settings file of a host, which names the store")
    private val heap =
        defaulted(
            "heap",
            NumberType(1L..MAXIMUM_HEAP_MEGABYTES, "MiB"),
            DEFAULT_HEAP_MEGABYTES,
            "heap of a host, from which its memory for messages follows"
        )
    private val format =
        defaulted("format", ChoiceType(listOf("text", JSON)), "text", "format of the report")

    override val name: String get() = "check"
    override val summary: String
        get() = "Checks resources or a configuration of forwarding hosts before they are sent."
    override val settings: SettingGroup =
        settings {
            +against
            +settingsFile
            +heap
            +format
        }
    override val arguments: List<ArgumentDeclaration>
        get() = listOf(ArgumentDeclaration("FILE", "resource or configuration file, JSON"))

    override fun FindingCollector.check(values: SettingValues) {
        val needsStore = values.find(against) == STORE
        require(
            !needsStore || values.find(settingsFile) != null,
            Place("flag", field = "--settings")
        ) {
            "needed to read the store"
        }
    }

    override suspend fun run(invocation: Invocation): ExitCode {
        val file = invocation.argument("FILE")
        val text =
            try {
                File(file).readText()
            } catch (failure: IOException) {
                return unreadable(invocation, listOf(Finding(Place(file), failure.toString())))
            }
        val configuration =
            try {
                readConfigurationFile(file, text)
            } catch (invalid: SapphireleverException) {
                return unreadable(invocation, invalid.findings)
            }
        return if (configuration == null) {
            checkResources(invocation, file, text)
        } else {
            checkConfigurationFile(invocation, configuration)
        }
    }

    private fun checkResources(invocation: Invocation, file: String, text: String): ExitCode {
        val read = readResourceFile(file, text)
        val resources = read.resources ?: return unreadable(invocation, read.findings)
        print(invocation, read.findings, emptyList())
        if (read.findings.isNotEmpty()) return ExitCode.FAILURE
        if (invocation.values[format] != JSON) {
            invocation.output.println(
                "$file is valid: ${resources.services.size} services, " +
                    "${resources.pipelines.size} pipelines, " +
                    "${resources.organisations.size} organisations"
            )
        }
        return ExitCode.SUCCESS
    }

    private suspend fun checkConfigurationFile(
        invocation: Invocation,
        checked: ConfigurationFile
    ): ExitCode {
        val values = invocation.values
        val inForce =
            try {
                values.find(against)?.let { readVersion(it, values) }
            } catch (invalid: SapphireleverException) {
                if (invalid.code != ErrorCode.INVALID_RESOURCE) throw invalid
                return unreadable(invocation, invalid.findings)
            }
        val heapBytes = values[heap] * BYTES_PER_MEGABYTE
        val surroundings =
            CheckSurroundings(MessageMemory.capacityOf(heapBytes), inForce?.servedServices)
        val findings = checkConfiguration(checked.configuration, surroundings, checked.places)
        val compared =
            inForce?.let {
                compareConfigurations(
                    it.configuration,
                    checked.configuration,
                    checked.places,
                    Place(it.source)
                )
            } ?: persistentListOf()
        val (differences, errors) = compared.partition { it.code?.group == CheckGroup.DIFFERENCE }
        val all = errors + findings
        print(invocation, all, differences)
        return if (all.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILURE
    }

    private fun print(invocation: Invocation, findings: List<Finding>, differences: List<Finding>) {
        val report =
            if (invocation.values[format] == JSON) {
                MessageJson.encodeToString(
                    CheckReportMessage(
                        findings.map { it.toCheckFindingMessage() },
                        differences.map { it.toCheckFindingMessage() }
                    )
                )
            } else {
                val count = "${findings.size} findings, ${differences.size} differences"
                (findings + differences + count).joinToString("\n")
            }
        invocation.output.println(report)
    }

    private fun unreadable(invocation: Invocation, findings: List<Finding>): ExitCode {
        findings.forEach { invocation.errors.println(it) }
        return ExitCode.UNREADABLE
    }

    /** A version to compare with; [servedServices] is null if it is not known. */
    private data class Version(
        val source: String,
        val configuration: ForwardingConfiguration,
        val servedServices: Set<ServiceName>? = null
    )

    private suspend fun readVersion(source: String, values: SettingValues): Version {
        if (source != STORE) {
            val file = readConfigurationFile(source, readText(source))
                ?: throw SapphireleverException(
                    ErrorCode.INVALID_RESOURCE,
                    findings = persistentListOf(Finding(Place(source), "no configuration"))
                )
            return Version(source, file.configuration)
        }
        val profile = readHostFile(checkNotNull(values.find(settingsFile)), metricsPort = 0)
        val entries: PersistentList<StoreEntry> =
            try {
                Sockets().use { StoreClient(profile.store, it).entries().entries }
            } catch (failure: IOException) {
                throw SapphireleverException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the store ${profile.store} does not answer: ${failure.message}",
                    cause = failure
                )
            }
        val configuration =
            entries.filterIsInstance<StoreEntry.Configuration>().firstOrNull()?.configuration
                ?: throw SapphireleverException(
                    ErrorCode.NOT_READY,
                    "the store ${profile.store} holds no configuration"
                )
        val served =
            entries.filterIsInstance<StoreEntry.Target>()
                .filterNot { it.record.leaving }
                .map { it.record.service }
                .toSet()
        return Version(STORE, configuration, served)
    }
}
