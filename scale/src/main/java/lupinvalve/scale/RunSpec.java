package lupinvalve.scale;

import java.nio.file.Path;

/**
 * One run.
 *
 * @param changeFactor times the operators' 3,800 changes of configuration a day
 * @param restartFactor times the operators' 340 restarts a day
 * @param regionDelayMillis each way between regions
 * @param config a platform's file that the daemons' are made from
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
    RunSpec sized(Load.Kind kind, int size, int entries) {
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
        return Budgets.CHANGES_A_DAY / Budgets.DAY_SECONDS * changeFactor;
    }

    double restartsPerSecond() {
        return Budgets.RESTARTS_A_DAY / Budgets.DAY_SECONDS * restartFactor;
    }
}
