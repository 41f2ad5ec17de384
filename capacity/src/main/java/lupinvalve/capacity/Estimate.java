package lupinvalve.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import lupinvalve.capacity.Slopes.Design;
import lupinvalve.capacity.Slopes.Fit;
import lupinvalve.capacity.Slopes.Per;
import lupinvalve.capacity.Slopes.Run;

/**
 * Estimate of a metric at the operators' size and rate: the value of a run at that size, or else the value of a fitted
 * line. Runs have a heavier load than the operators'; if a metric was also measured without load, the part above that
 * value is divided by the factor by which the load was heavier.
 *
 * @param value NaN if no run or line gives it
 * @param failsAt smallest number of poolers at which the line, or a run, exceeds the budget; NaN if there is none
 */
public record Estimate(double value, double failsAt, Basis basis, String from) {
    /** An extrapolation beyond this multiple of the largest run's size counts as a guess. */
    private static final double MAX_EXTRAPOLATION_RATIO = 10;
    /** A line through two points has no residual to judge it by. */
    private static final int MIN_POINTS = 3;

    private static final Estimate NO_ESTIMATE = new Estimate(Double.NaN, Double.NaN, Basis.NOT_RUN, "no run");

    /** Returns the estimate of a metric for a design. */
    public static Estimate of(Slopes slopes, Design design, Metric metric, Demand demand) {
        List<Run> measuredRuns = slopes.latest().stream()
                .filter(run -> run.design() == design && run.completed())
                .filter(run -> !Double.isNaN(run.value(metric)))
                .toList();
        Estimate measured = measured(measuredRuns, metric, demand);
        if (measured != null) {
            return measured;
        }
        return slopes.fits().stream()
                .filter(fit -> fit.design() == design && metric.key().equals(fit.metric()))
                .filter(fit -> fit.per() == Per.POOLER && fit.points() >= MIN_POINTS)
                .map(fit -> new Line(slopes, fit, metric, demand))
                .max(Comparator.comparingInt(Line::largestPoolers)
                        .thenComparing(line -> line.fit.trial() == null)
                        .thenComparing(line -> line.at(demand.poolers())))
                .map(Line::estimate)
                .map(estimate -> withFailedRunNote(slopes, design, demand, estimate))
                .orElse(NO_ESTIMATE);
    }

    /** Adds a note to a line's source if a run of full size failed, because the line does not disprove that failure. */
    private static Estimate withFailedRunNote(Slopes slopes, Design design, Demand demand, Estimate line) {
        boolean failed = slopes.latest().stream()
                .anyMatch(run -> run.design() == design
                        && !run.completed()
                        && run.trial() == null
                        && run.poolers() >= demand.poolers());
        return !failed
                ? line
                : new Estimate(
                        line.value(),
                        line.failsAt(),
                        line.basis(),
                        line.from() + "; **a run of " + demand.poolers() + " failed**");
    }

    /**
     * Returns the value of the largest run of a design, scaled to the operators' rate; empty if no run has the metric.
     */
    static String largest(Slopes slopes, Design design, Metric metric) {
        return slopes.latest().stream()
                .filter(run -> run.design() == design && run.completed() && run.trial() == null)
                .filter(run -> !Double.isNaN(run.value(metric)))
                .max(Comparator.comparingInt(Run::poolers)
                        .thenComparingInt(Run::databases)
                        .thenComparingDouble(run -> atRate(run, metric)))
                .map(run -> metric.unit().format(atRate(run, metric)) + " (" + run.poolers() + " poolers)")
                .orElse("");
    }

    private static double atRate(Run run, Metric metric) {
        double idle = metric.idleMetric() == null ? Double.NaN : run.value(metric.idleMetric());
        return atRate(run.value(metric), idle, run.loadFactor());
    }

    private static double atRate(double value, double idle, double factor) {
        return Double.isNaN(idle) ? value : idle + Math.max(0, value - idle) / factor;
    }

    private static Estimate measured(List<Run> measuredRuns, Metric metric, Demand demand) {
        Run worst = measuredRuns.stream()
                .filter(run -> run.poolers() >= demand.poolers() && run.databases() >= demand.databases())
                .max(Comparator.comparing((Run run) -> run.trial() == null)
                        .thenComparingDouble(run -> atRate(run, metric)))
                .orElse(null);
        if (worst == null) {
            return null;
        }
        double budget = metric.budget(demand);
        double failsAt = measuredRuns.stream()
                .filter(run -> atRate(run, metric) > budget)
                .mapToDouble(Run::poolers)
                .min()
                .orElse(Double.NaN);
        double value = atRate(worst, metric);
        boolean scaled = value != worst.value(metric);
        Basis basis = worst.trial() != null ? Basis.TRIAL : scaled ? Basis.COMPUTED : Basis.MEASURED;
        return new Estimate(
                value,
                value > budget ? failsAt : Double.NaN,
                basis,
                worst.description() + (scaled ? "; as run " + metric.unit().format(worst.value(metric)) : ""));
    }

    /** A line over the number of poolers, with the line of the same metric without load and the slope per database. */
    private static final class Line {
        final Fit fit;
        private final Metric metric;
        private final Demand demand;
        private final List<Run> runs;
        private final Fit idle;
        private final double perDatabase;

        Line(Slopes slopes, Fit fit, Metric metric, Demand demand) {
            this.fit = fit;
            this.metric = metric;
            this.demand = demand;
            runs = slopes.latest().stream().filter(fit::includes).toList();
            idle = metric.idleMetric() == null
                    ? null
                    : slopes.fits().stream()
                            .filter(fit::hasSameRunsAs)
                            .filter(other -> metric.idleMetric().key().equals(other.metric()))
                            .findFirst()
                            .orElse(null);
            perDatabase = slopes.fits().stream()
                    .filter(other -> other.per() == Per.DATABASE && other.design() == fit.design())
                    .filter(other -> metric.key().equals(other.metric()))
                    .mapToDouble(Fit::slope)
                    .max()
                    .orElse(0);
        }

        /** Returns the largest number of poolers among the runs of the line. */
        int largestPoolers() {
            return runs.stream().mapToInt(Run::poolers).max().orElse(0);
        }

        private double loadFactor() {
            return runs.stream().mapToDouble(Run::loadFactor).min().orElse(1);
        }

        /** Returns the addition for databases by which the runs fell short of the operators' number. */
        private double missingDatabasesAddition() {
            int runDatabases = fit.databases() > 0 ? fit.databases() : demand.databases();
            return Math.max(0, perDatabase) * Math.max(0, demand.databases() - runDatabases);
        }

        double at(double poolers) {
            return atRate(
                    fit.at(poolers) + missingDatabasesAddition(),
                    idle == null ? Double.NaN : idle.at(poolers),
                    loadFactor());
        }

        Estimate estimate() {
            double budget = metric.budget(demand);
            double value = at(demand.poolers());
            if (value < 0 || idle != null && idle.at(demand.poolers()) < 0) {
                return fromLargestRun(budget);
            }
            double failsAt = Double.NaN;
            for (int poolers = demand.poolers(); value > budget && poolers > 0 && at(poolers) > budget; poolers--) {
                failsAt = poolers;
            }
            String times = loadFactor() == 1 ? "" : " x " + Unit.number(loadFactor());
            String from = String.format(
                    Locale.ROOT,
                    "%s + %s a pooler, %s%s, %d points to %d, residual %s%s%s",
                    Unit.number(fit.intercept()),
                    Unit.number(fit.slope()),
                    fit.load().word(),
                    times,
                    fit.points(),
                    largestPoolers(),
                    Unit.number(fit.residual()),
                    missingDatabasesAddition() > 0 ? ", databases added" : "",
                    fit.trial() == null ? "" : ", trial: " + fit.trial());
            return new Estimate(value, failsAt, basis(), from);
        }

        /**
         * Estimate for a line that would fall below zero, as with poolers that share a process: takes the value of the
         * largest run instead.
         */
        private Estimate fromLargestRun(double budget) {
            Run largest = runs.stream()
                    .filter(run -> !Double.isNaN(run.value(metric)))
                    .max(Comparator.comparingInt(Run::poolers))
                    .orElse(null);
            if (largest == null) {
                return NO_ESTIMATE;
            }
            double value = atRate(largest, metric);
            return new Estimate(
                    value,
                    value > budget ? largest.poolers() : Double.NaN,
                    basis(),
                    "falls with size, taken as at " + largest.poolers() + ", " + largest.description());
        }

        private Basis basis() {
            if ((double) demand.poolers() / largestPoolers() > MAX_EXTRAPOLATION_RATIO) {
                return Basis.GUESSED;
            }
            return fit.trial() == null ? Basis.COMPUTED : Basis.TRIAL;
        }
    }
}
