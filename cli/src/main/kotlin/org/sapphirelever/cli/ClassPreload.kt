/*
 * Loads the classes that serve requests before the first request arrives, so that no caller waits
 * for a class to be read from the jar. It runs before the host has tasks of its own: processes of
 * the users' platform were seen to end when several threads read the jar at the same time.
 */
package org.sapphirelever.cli

import java.io.File
import java.util.jar.JarFile

/** Loads the classes of [packages] from the jar that holds [anchor]; returns how many. */
internal fun preloadClasses(anchor: Class<*>, packages: List<String>): Int {
    val source = File(anchor.protectionDomain.codeSource.location.toURI())
    // Classes of a build directory are loaded one by one as before; that is only so in tests.
    if (!source.isFile) return 0
    return JarFile(source).use { jar ->
        val names =
            jar
                .entries()
                .asSequence()
                .map { it.name }
                .filter { name -> name.endsWith(CLASS_FILE) && packages.any(name::startsWith) }
                .map { it.removeSuffix(CLASS_FILE).replace('/', '.') }
        names.count { isLoadable(it, anchor.classLoader) }
    }
}

private fun isLoadable(name: String, loader: ClassLoader): Boolean = try {
    Class.forName(name, false, loader)
    true
} catch (_: LinkageError) {
    // A class for an optional dependency, which this program does not use.
    false
}

private const val CLASS_FILE = ".class"
