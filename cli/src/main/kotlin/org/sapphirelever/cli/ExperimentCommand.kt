/*
 * Command that runs experiments on virtual time.
 */
package org.sapphirelever.cli

import java.nio.file.Path
import org.sapphirelever.core.ExitCode
import org.sapphirelever.core.settings.ListType
import org.sapphirelever.core.settings.NameType
import org.sapphirelever.core.settings.NumberType
import org.sapphirelever.core.settings.SettingGroup
import org.sapphirelever.core.settings.TextType
import org.sapphirelever.core.settings.defaulted
import org.sapphirelever.core.settings.settings
import org.sapphirelever.load.experiment.runExperiments

/** Runs experiments and compares their figures with the stated bounds. */
public object ExperimentCommand : Command {
    private val names =
        defaulted("names", ListType(NameType), emptyList(), "experiments to run; all if absent")
    private val seed =
        defaulted("seed", NumberType(0L..Long.MAX_VALUE, "number"), 1L, "seed of the experiments")
    private val directory =
        defaulted("output-directory", TextType, "run/experiments", "directory for JSON and plots")

    override val name: String get() = "experiment"
    override val summary: String
        get() = "Runs experiments on virtual time; fails if a figure misses its bound."
    override val settings: SettingGroup =
        settings {
            +names
            +seed
            +directory
        }

    override suspend fun run(invocation: Invocation): ExitCode {
        val values = invocation.values
        val report = runExperiments(values[names], values[seed], Path.of(values[directory]))
        invocation.output.print(report.table())
        return if (report.missed.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILURE
    }
}
