/*
 * Hashes that every host computes alike: rendezvous ranks of members and targets, the ring of
 * links and checksums of tables.
 */
package org.sapphirelever.decisions

/** 64-bit FNV-1a of [text] with a final mix, since the plain sum is weak in its high bits. */
public fun stableHash(text: String): Long = mixed(fnv(FNV_OFFSET, text))

/**
 * Rendezvous rank of [candidate] for [key], equal to the hash of `key/candidate`. It allocates
 * nothing, because the choice of a target ranks up to a whole subset for each call.
 */
public fun rendezvousRank(key: String, candidate: String): Long =
    mixed(fnv(fnv(fnv(FNV_OFFSET, key), SEPARATOR), candidate))

private fun fnv(start: Long, text: String): Long =
    text.fold(start) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

private fun mixed(sum: Long): Long {
    var mixed = (sum xor (sum ushr MIX_SHIFT)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr MIX_SHIFT)) * MIX_SECOND
    return mixed xor (mixed ushr MIX_SHIFT)
}

private const val SEPARATOR = "/"
private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_FIRST = -0xae502812aa7333L
private const val MIX_SECOND = -0x3b314601e57a13adL
