/*
 * Check of the fields of a resource file before it is decoded. The decoder stops at its first
 * fault; this check reports each unknown, missing and wrongly typed field.
 */
package org.sapphirelever.wire.resource

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Reports each fault of [element] against [descriptor] with the path of its field. */
internal fun checkFields(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    report: (path: String, message: String) -> Unit
) {
    when (descriptor.kind) {
        StructureKind.CLASS ->
            if (element is JsonObject) {
                checkMembers(element, descriptor, path, report)
            } else {
                report(path, "must be an object")
            }

        StructureKind.LIST ->
            if (element is JsonArray) {
                val type = descriptor.getElementDescriptor(0)
                element.forEachIndexed { index, item ->
                    checkFields(item, type, "$path[$index]", report)
                }
            } else {
                report(path, "must be a list")
            }

        else -> checkPrimitive(element, descriptor)?.let { report(path, it) }
    }
}

private fun checkMembers(
    element: JsonObject,
    descriptor: SerialDescriptor,
    path: String,
    report: (path: String, message: String) -> Unit
) {
    fun join(name: String): String = if (path.isEmpty()) name else "$path.$name"
    val names = descriptor.elementNames.toList()
    (element.keys - names.toSet()).forEach { name ->
        report(join(name), "unknown field; expected one of ${names.joinToString()}")
    }
    names.forEachIndexed { index, name ->
        val member = element[name]
        if (member != null) {
            checkFields(member, descriptor.getElementDescriptor(index), join(name), report)
        } else if (!descriptor.isElementOptional(index)) {
            report(join(name), "missing")
        }
    }
}

private fun checkPrimitive(element: JsonElement, descriptor: SerialDescriptor): String? {
    val primitive = element as? JsonPrimitive
    return when (descriptor.kind) {
        PrimitiveKind.STRING -> if (primitive?.isString == true) null else "must be text"

        PrimitiveKind.BOOLEAN ->
            if (primitive.isUnquoted { booleanOrNull }) null else "must be true or false"

        PrimitiveKind.INT -> if (primitive.isUnquoted { intOrNull }) null else "must be a number"

        else -> if (primitive.isUnquoted { longOrNull }) null else "must be a number"
    }
}

private fun JsonPrimitive?.isUnquoted(read: JsonPrimitive.() -> Any?): Boolean =
    this != null && !isString && read() != null
