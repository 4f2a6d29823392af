/*
 * Runs experiments, for the command line and for tests.
 */
package org.sapphirelever.load.experiment

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import org.sapphirelever.core.ErrorCode
import org.sapphirelever.core.SapphireleverException
import org.sapphirelever.decisions.admission.DispatchRules
import org.sapphirelever.decisions.routing.LeastOutstandingPolicy
import org.sapphirelever.decisions.routing.RandomPolicy
import org.sapphirelever.decisions.routing.RoundRobinPolicy
import org.sapphirelever.decisions.routing.TwoChoicesPolicy

/** All experiments, in the order in which they run. */
public val EXPERIMENTS: List<Experiment> = listOf(
    SurgeExperiment,
    LongWorkExperiment.UNCONTENDED,
    LongWorkExperiment.CONTENDED,
    SlowTargetExperiment,
    PrefixExperiment,
    FailureExperiment
)

/** The approach that the entry host uses. */
public val CHOSEN_APPROACH: Approach = Approach.Dispatcher(DispatchRules())

/** The baselines and the chosen approach. */
public val APPROACHES: List<Approach> = listOf(
    Approach.Baseline(RoundRobinPolicy),
    Approach.Baseline(RandomPolicy),
    Approach.Baseline(LeastOutstandingPolicy),
    Approach.Baseline(TwoChoicesPolicy),
    CHOSEN_APPROACH
)

/** The deployments on which experiments run by default. */
public val DEPLOYMENTS: List<Deployment> = listOf(KENNEL_OFFICE, STRAP_MENDERS)

/**
 * Runs the experiments with [names], or all if it is empty, with [seed]. Writes `<name>.json` and
 * `<name>.svg` for each to [outputDirectory], which is created if it does not exist.
 *
 * @throws SapphireleverException with [ErrorCode.INVALID_SETTING] for an unknown name
 */
public fun runExperiments(
    names: List<String>,
    seed: Long,
    outputDirectory: Path
): ExperimentReport {
    val selected = names.map(::experiment).ifEmpty { EXPERIMENTS }
    Files.createDirectories(outputDirectory)
    val rows = selected.flatMap { experiment ->
        val rows = runExperiment(experiment, seed)
        val json = ExperimentReport(seed, rows).toJson()
        outputDirectory.resolve("${experiment.name}.json").writeText(json + "\n")
        outputDirectory.resolve("${experiment.name}.svg").writeText(plot(experiment, rows))
        rows
    }
    return ExperimentReport(seed, rows)
}

/** Runs [experiment] on [deployments] with every approach and the same [seed]. */
public fun runExperiment(
    experiment: Experiment,
    seed: Long,
    deployments: List<Deployment> = DEPLOYMENTS,
    approaches: List<Approach> = APPROACHES
): List<ExperimentRow> = deployments.flatMap { deployment ->
    approaches.map { approach ->
        val figures = experiment.run(deployment, approach, seed)
        val missed = experiment.bounds.filter { !it.holds(figures.getValue(it.figure)) }
        ExperimentRow(
            experiment.name,
            deployment.name,
            approach.name,
            figures,
            missed.map { it.figure }
        )
    }
}

private fun experiment(name: String): Experiment = EXPERIMENTS.firstOrNull { it.name == name }
    ?: throw SapphireleverException(ErrorCode.INVALID_SETTING, "unknown experiment '$name'")
