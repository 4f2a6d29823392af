/*
 * Commands for operators: print the resources in force and change the desired ones.
 */
package org.sapphirelever.cli

import io.ktor.http.HttpMethod
import java.io.File
import java.io.IOException
import java.util.UUID
import kotlinx.serialization.encodeToString
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.optional
import org.sapphirelever.core.settings.settings
import org.sapphirelever.wire.ApplyMessage
import org.sapphirelever.wire.ConfigurationMessage
import org.sapphirelever.wire.MessageJson
import org.sapphirelever.wire.resource.readResourceFile
import org.sapphirelever.wire.toConfiguration

private val KIND = ArgumentDeclaration("KIND", "services, pipelines or organisations")
private val NAME = ArgumentDeclaration("NAME", "name of the resource")
private val FILE = ArgumentDeclaration("FILE", "resource file, JSON")
private val EXPECTED_REVISION =
    optional(
        "expected-revision",
        NumberType(0L..Long.MAX_VALUE, "revision"),
        "accept the change only if this revision is in force"
    )
private val AFTER_REVISION =
    defaulted(
        "after",
        NumberType(0L..Long.MAX_VALUE, "revision"),
        0L,
        "print only later revisions"
    )
private val REVISION_COUNT =
    optional(
        "count",
        NumberType(1L..Long.MAX_VALUE, "revisions"),
        "end after this many revisions; without it, only a signal ends the watch"
    )

/** Path of the resource that the arguments name. */
private val Invocation.resourcePath: String
    get() = "/v1/resources/${argument("KIND")}/${argument("NAME")}"

/** Prints one resource. */
public object GetCommand : Command {
    override val name: String get() = "get"
    override val summary: String get() = "Prints one resource that is in force."
    override val settings: SettingGroup get() = CLIENT_SETTINGS
    override val arguments: List<ArgumentDeclaration> get() = listOf(KIND, NAME)

    override suspend fun run(invocation: Invocation): ExitCode {
        invocation.print(invocation.withClient { it.call(HttpMethod.Get, invocation.resourcePath) })
        return ExitCode.SUCCESS
    }
}

/** Prints all resources. */
public object ListCommand : Command {
    override val name: String get() = "list"
    override val summary: String get() = "Prints all resources that are in force."
    override val settings: SettingGroup get() = CLIENT_SETTINGS

    override suspend fun run(invocation: Invocation): ExitCode {
        invocation.print(invocation.withClient { it.call(HttpMethod.Get, "/v1/resources") })
        return ExitCode.SUCCESS
    }
}

/** Applies a resource file. */
public object ApplyCommand : Command {
    override val name: String get() = "apply"
    override val summary: String get() = "Applies the resources of a file, all or none."
    override val settings: SettingGroup = CLIENT_SETTINGS + settings { +EXPECTED_REVISION }
    override val arguments: List<ArgumentDeclaration> get() = listOf(FILE)

    override suspend fun run(invocation: Invocation): ExitCode = invocation.withClient { client ->
        val file = invocation.argument("FILE")
        val text = readText(file)
        val inForce =
            MessageJson.decodeFromString<ConfigurationMessage>(
                client.call(HttpMethod.Get, "/v1/resources")
            )
        val resources = readResourceFile(file, text, inForce.toConfiguration()).validOrThrow()
        // After a lost reply of the store, the host finds out by this identifier whether its write
        // took effect.
        val change = UUID.randomUUID().toString()
        val message = ApplyMessage(change, resources, invocation.values.find(EXPECTED_REVISION))
        val body = MessageJson.encodeToString(message)
        invocation.print(client.call(HttpMethod.Post, "/v1/resources/apply", body))
        ExitCode.SUCCESS
    }
}

/** Deletes one resource. */
public object DeleteCommand : Command {
    override val name: String get() = "delete"
    override val summary: String get() = "Deletes one resource."
    override val settings: SettingGroup get() = CLIENT_SETTINGS
    override val arguments: List<ArgumentDeclaration> get() = listOf(KIND, NAME)

    override suspend fun run(invocation: Invocation): ExitCode {
        invocation.print(
            invocation.withClient {
                it.call(HttpMethod.Delete, invocation.resourcePath)
            }
        )
        return ExitCode.SUCCESS
    }
}

/** Prints each revision as it takes effect. */
public object WatchCommand : Command {
    override val name: String get() = "watch"
    override val summary: String get() = "Prints each revision as it takes effect on the host."
    override val settings: SettingGroup =
        CLIENT_SETTINGS +
            settings {
                +AFTER_REVISION
                +REVISION_COUNT
            }

    override suspend fun run(invocation: Invocation): ExitCode = invocation.withClient { client ->
        val values = invocation.values
        // The host answers 204 after this time; the call must not time out before that.
        val wait = (values[CALL_TIMEOUT] / 2).inWholeMilliseconds
        var after = values[AFTER_REVISION]
        // Without a count, -1 never reaches 0 and only a signal ends the watch.
        var remaining = values.find(REVISION_COUNT) ?: -1
        while (remaining != 0L) {
            val path = "/v1/resources/watch?after=$after&waitMillis=$wait"
            val reply = client.call(HttpMethod.Get, path)
            if (reply.isEmpty()) continue
            invocation.print(reply)
            after = MessageJson.decodeFromString<ConfigurationMessage>(reply).revision
            remaining--
        }
        ExitCode.SUCCESS
    }
}

/** Prints the status of a host. */
public object StatusCommand : Command {
    override val name: String get() = "status"
    override val summary: String get() = "Prints the revisions and readiness of a host."
    override val settings: SettingGroup get() = CLIENT_SETTINGS

    override suspend fun run(invocation: Invocation): ExitCode {
        invocation.print(invocation.withClient { it.call(HttpMethod.Get, "/v1/status") })
        return ExitCode.SUCCESS
    }
}

/** Reads [file]; an unreadable file counts as an invalid resource. */
internal fun readText(file: String): String = try {
    File(file).readText()
} catch (failure: IOException) {
    throw SapphireleverException(ErrorCode.INVALID_RESOURCE, failure.toString(), cause = failure)
}
