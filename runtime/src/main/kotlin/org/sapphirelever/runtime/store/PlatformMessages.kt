/*
 * Messages of the platform's HTTP interface, as JSON. docs/platform.md describes the protocol.
 */
package org.sapphirelever.runtime.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON of the platform's messages. */
public val PlatformJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

@Serializable
public data class ValueMessage(public val value: String, public val revision: Long)

@Serializable
public data class RevisionMessage(public val revision: Long)

@Serializable
public data class LeaseRequestMessage(
    public val holder: String,
    public val timeToLiveMillis: Long,
    public val fencing: Long = 0
)

@Serializable
public data class LeaseMessage(public val holder: String, public val fencing: Long)

@Serializable
public data class ListedHostMessage(
    public val id: String,
    public val service: String,
    public val dataCentre: String,
    public val address: String,
    public val port: Int,
    public val leaving: Boolean = false
)

@Serializable
public data class HostListMessage(public val hosts: List<ListedHostMessage>)

/** Weights of a model, represented by their size only. */
@Serializable
public data class WeightMessage(public val model: String, public val bytes: Long)
