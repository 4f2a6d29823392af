/*
 * Identifiers of the things the system names. Each is a value class, so that one kind of name
 * cannot be passed where another is expected.
 */
package org.sapphirelever.core

import kotlinx.serialization.Serializable

/** Name of an entry host or target host, unique within the fleet at any moment. */
@Serializable
@JvmInline
public value class HostId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identity of one process, drawn at random when it starts. A host that restarts has a new
 * incarnation, so incarnations need no ordering and no disk.
 */
@Serializable
@JvmInline
public value class Incarnation(public val value: String) {
    override fun toString(): String = value
}

/** Name of a data centre. */
@Serializable
@JvmInline
public value class DataCentre(public val value: String) {
    override fun toString(): String = value
}

/** Name of an organisation that sends requests. */
@Serializable
@JvmInline
public value class OrganisationName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a pipeline declaration. */
@Serializable
@JvmInline
public value class PipelineName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a stage, unique within its pipeline. */
@Serializable
@JvmInline
public value class StageName(public val value: String) {
    override fun toString(): String = value
}

/** Name of a service: a set of targets that answer the same calls. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** Name of one target of a service. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Identity of a request, minted by the entry host that accepted it. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identity of one attempt at one stage of one request. Attempts are numbered from 1. */
@Serializable
public data class AttemptId(
    public val request: RequestId,
    public val stage: StageName,
    public val number: Int
) {
    override fun toString(): String = "$request/$stage/$number"
}

/** Position of a configuration document in the total order of accepted documents. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Revision of a host that has no configuration yet. */
        public val NONE: Revision = Revision(0)
    }
}

/** Number that grows with each new holder of a lease. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** IP address and port of a process. */
@Serializable
public data class Endpoint(public val address: String, public val port: Int) {
    override fun toString(): String = "$address:$port"
}
