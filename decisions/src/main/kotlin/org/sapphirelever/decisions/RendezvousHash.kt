/*
 * Hashes that are equal on all hosts: for rendezvous ranks of members and targets, the ring of
 * links and checksums of tables.
 */
package org.sapphirelever.decisions

/** 64-bit FNV-1a of [text] with a final mix, since the high bits of plain FNV-1a are weak. */
public fun stableHash(text: String): Long = mix(fnv(FNV_OFFSET, text))

/**
 * Rendezvous rank of [candidate] for [key], equal to the hash of `key/candidate`. It allocates
 * nothing, because the choice of a target ranks up to a whole subset for each call.
 */
public fun rendezvousRank(key: String, candidate: String): Long =
    mix(fnv(fnv(fnv(FNV_OFFSET, key), SEPARATOR), candidate))

private fun fnv(start: Long, text: String): Long =
    text.fold(start) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

private fun mix(hash: Long): Long {
    var mixed = (hash xor (hash ushr MIX_SHIFT)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_SECOND
    return mixed xor (mixed ushr MIX_SHIFT)
}

private const val SEPARATOR = "/"

// Constants of 64-bit FNV-1a and of the final mix of MurmurHash3.
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FIRST = -0xae502812aa7333L
private const val MIX_SECOND = -0x3b314601e57a13adL
