/*
 * Structural validation of a resource file before it is decoded. The decoder stops at its first
 * error; this check reports every unknown, missing and wrongly typed field.
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

/** Reports every deviation of [element] from [descriptor], with the path of the field. */
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
                val itemDescriptor = descriptor.getElementDescriptor(0)
                element.forEachIndexed { index, item ->
                    checkFields(item, itemDescriptor, "$path[$index]", report)
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
    fun pathOf(name: String): String = if (path.isEmpty()) name else "$path.$name"
    val names = descriptor.elementNames.toList()
    (element.keys - names.toSet()).forEach { name ->
        report(pathOf(name), "unknown field; expected one of ${names.joinToString()}")
    }
    names.forEachIndexed { index, name ->
        val member = element[name]
        if (member != null) {
            checkFields(member, descriptor.getElementDescriptor(index), pathOf(name), report)
        } else if (!descriptor.isElementOptional(index)) {
            report(pathOf(name), "missing")
        }
    }
}

/** Returns the error message for [element], or null if it has the type of [descriptor]. */
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

private fun JsonPrimitive?.isUnquoted(parse: JsonPrimitive.() -> Any?): Boolean =
    this != null && !isString && parse() != null
