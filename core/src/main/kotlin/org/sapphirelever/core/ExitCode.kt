/*
 * Exit codes of the program. They are stable; docs/errors.md lists them.
 */
package org.sapphirelever.core

/** Result of a command, with the exit code of its process. */
public enum class ExitCode(public val number: Int, public val meaning: String) {
    SUCCESS(0, "The command succeeded, or the process stopped gracefully."),
    FAILURE(1, "The operation failed; the message tells the error code."),
    UNREADABLE(2, "The file to be checked cannot be read."),
    USAGE(64, "The command line cannot be understood."),
    INVALID_RESOURCE(65, "The resource file is invalid; all findings are printed."),
    UNAVAILABLE(69, "The entry host or service does not answer."),
    INTERNAL(70, "An internal fault, or the supervisor tree gave up."),
    CUT_SHORT(75, "A second signal ended the process before its requests had finished."),
    INVALID_SETTING(78, "A setting is missing, unknown or out of range.")
}
