/*
 * The crowds of callers that do not behave. The limits of the hosts under test are lowered, so that
 * small crowds exceed the memory and the descriptors of a process.
 */
package org.sapphirelever.cli

import org.sapphirelever.platform.callerFields

/** Largest body that the hosts under test accept, in bytes. */
internal const val CROWD_BODY_BYTES = 262_144

/** Largest header that the hosts under test accept, in bytes. */
internal const val CROWD_HEADER_BYTES = 16_384

/** Descriptors that a host under test may open. */
internal const val CROWD_DESCRIPTORS = 400

private val HEAD_FIELDS = callerFields(deadlineMillis = 9_000, id = "7")
private const val SMALL_PIECE_BYTES = 4_096
private const val CHUNK_BYTES = 1_024
private const val SHORT_FIELDS = 1_300
private const val FIELDS_IN_PIECE = 100
private const val REQUESTS_AHEAD = 20_000
private const val REQUESTS_IN_PIECE = 100

internal val CROWD_CASES: List<CrowdCase> =
    listOf(
        CrowdCase("bodies in one piece, one byte short", callers = 150) { path ->
            sequenceOf(bodyHead(path), ByteArray(CROWD_BODY_BYTES - 1))
        },
        CrowdCase("bodies in small pieces, one byte short", callers = 150) { path ->
            sequenceOf(bodyHead(path)) + smallPieces() + ByteArray(SMALL_PIECE_BYTES - 1)
        },
        CrowdCase("bodies in chunks, without the last one", callers = 150) { path ->
            sequenceOf(chunkedHead(path)) + chunks(CROWD_BODY_BYTES / CHUNK_BYTES, CHUNK_BYTES)
        },
        CrowdCase("bodies in chunks of one byte", callers = 60) { path ->
            sequenceOf(chunkedHead(path)) +
                List(CHUNKS_OF_ONE_BYTE) { "1\r\nx\r\n" }.chunked(FIELDS_IN_PIECE) {
                    it.joinToString("").toByteArray()
                }
        },
        CrowdCase("bodies far over the limit", callers = 60) { path ->
            sequenceOf(bodyHead(path, Long.MAX_VALUE)) + blocks()
        },
        CrowdCase("chunked bodies far over the limit", callers = 60) { path ->
            sequenceOf(chunkedHead(path)) + chunks(BLOCKS, CROWD_BODY_BYTES)
        },
        CrowdCase("many short fields", callers = 300) { path ->
            sequenceOf("GET $path HTTP/1.1\r\n$HEAD_FIELDS$FIELDS\r\n".toByteArray())
        },
        CrowdCase("many short fields, without the end of the head", callers = 300) { path ->
            sequenceOf("GET $path HTTP/1.1\r\n$HEAD_FIELDS".toByteArray()) +
                FIELD_LINES.chunked(FIELDS_IN_PIECE) { it.joinToString("").toByteArray() }
        },
        CrowdCase("requests ahead without reading", callers = 60) { path ->
            generateSequence { requestsAhead(path) }.take(REQUESTS_AHEAD / REQUESTS_IN_PIECE)
        },
        CrowdCase("slow senders", callers = 500, pauseMillis = 10) { path ->
            "GET $path HTTP/1.1\r\n$HEAD_FIELDS".asSequence().map { byteArrayOf(it.code.toByte()) }
        },
        CrowdCase("slow readers", callers = 300, readBytes = 16, pauseMillis = 10) { path ->
            sequenceOf(requestsAhead(path))
        },
        CrowdCase("callers that stop half-way and leave", callers = 300, closes = true) { path ->
            sequenceOf(bodyHead(path), ByteArray(CROWD_BODY_BYTES / 2))
        },
        CrowdCase("connections without a request", callers = 500) { emptySequence() }
    )

private const val CHUNKS_OF_ONE_BYTE = 20_000
private const val BLOCKS = 16

private val FIELD_LINES: List<String> = List(SHORT_FIELDS) { "f$it: x\r\n" }
private val FIELDS: String = FIELD_LINES.joinToString("")

private fun bodyHead(path: String, bytes: Long = CROWD_BODY_BYTES.toLong()): ByteArray =
    "POST $path HTTP/1.1\r\n${HEAD_FIELDS}Content-Length: $bytes\r\n\r\n".toByteArray()

private fun chunkedHead(path: String): ByteArray =
    "POST $path HTTP/1.1\r\n${HEAD_FIELDS}Transfer-Encoding: chunked\r\n\r\n".toByteArray()

private fun smallPieces(): Sequence<ByteArray> =
    generateSequence { ByteArray(SMALL_PIECE_BYTES) }.take(CROWD_BODY_BYTES / SMALL_PIECE_BYTES - 1)

private fun chunks(count: Int, size: Int): Sequence<ByteArray> {
    val chunk = "${size.toString(16)}\r\n".toByteArray() + ByteArray(size) + "\r\n".toByteArray()
    return generateSequence { chunk }.take(count)
}

private fun blocks(): Sequence<ByteArray> = generateSequence { ByteArray(CROWD_BODY_BYTES) }
    .take(BLOCKS)

private fun requestsAhead(path: String): ByteArray =
    "GET $path HTTP/1.1\r\n$HEAD_FIELDS\r\n".repeat(REQUESTS_IN_PIECE).toByteArray()
