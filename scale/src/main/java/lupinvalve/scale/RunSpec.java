package lupinvalve.scale;

import java.nio.file.Path;

/**
 * Parameters of a run.
 *
 * @param changeFactor multiple of the operators' 3,800 configuration changes a day
 * @param restartFactor multiple of the operators' 340 restarts a day
 * @param regionDelayMillis added one-way delay between regions
 * @param config a deployment's configuration file that serves as the template for the daemons' files
 */
record RunSpec(
        Design design,
        Load.Kind load,
        int poolers,
        int databases,
        int daemons,
        int seconds,
        long seed,
        double changeFactor,
        double restartFactor,
        int regionDelayMillis,
        Path config,
        boolean keep) {
    RunSpec withSize(Load.Kind kind, int size, int entries) {
        return new RunSpec(
                design,
                kind,
                size,
                entries,
                daemons,
                seconds,
                seed,
                changeFactor,
                restartFactor,
                regionDelayMillis,
                config,
                keep);
    }

    double changesPerSecond() {
        return Budgets.CHANGES_PER_DAY / Budgets.SECONDS_PER_DAY * changeFactor;
    }

    double restartsPerSecond() {
        return Budgets.RESTARTS_PER_DAY / Budgets.SECONDS_PER_DAY * restartFactor;
    }
}
