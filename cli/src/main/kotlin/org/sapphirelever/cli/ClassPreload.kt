/*
 * Loads the classes that serve requests before the first request arrives, so that no caller waits
 * for a class to be read from the jar. This happens before the host starts any task, because
 * processes on the users' platform ended when several threads read the jar at the same time.
 */
package org.sapphirelever.cli

import java.io.File
import java.util.jar.JarFile

/** Loads the classes of [packages] from the jar that contains [anchor]; returns their number. */
internal fun preloadClasses(anchor: Class<*>, packages: List<String>): Int {
    val source = File(anchor.protectionDomain.codeSource.location.toURI())
    // Tests run from a build directory, whose classes are loaded on first use.
    if (!source.isFile) return 0
    return JarFile(source).use { jar ->
        val names =
            jar
                .entries()
                .asSequence()
                .map { it.name }
                .filter { name -> name.endsWith(CLASS_SUFFIX) && packages.any(name::startsWith) }
                .map { it.removeSuffix(CLASS_SUFFIX).replace('/', '.') }
        names.count { tryLoadClass(it, anchor.classLoader) }
    }
}

private fun tryLoadClass(name: String, loader: ClassLoader): Boolean = try {
    Class.forName(name, false, loader)
    true
} catch (_: LinkageError) {
    // The class needs an optional dependency, which this program does not use.
    false
}

private const val CLASS_SUFFIX = ".class"
