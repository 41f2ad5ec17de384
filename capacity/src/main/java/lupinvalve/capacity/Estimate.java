package lupinvalve.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import lupinvalve.capacity.Slopes.Design;
import lupinvalve.capacity.Slopes.Fit;
import lupinvalve.capacity.Slopes.Per;
import lupinvalve.capacity.Slopes.Run;

/**
 * What a metric comes to at the operators' size and rate: what a run at that size told, else what the lines give. Runs
 * have a heavier load than the operators'; where they tell a metric without load as well, the part above it is divided
 * by how much heavier.
 *
 * @param value NaN where nothing tells it
 * @param failsAt the smallest number of poolers at which the line, or a run, is over the budget; NaN where none is
 */
public record Estimate(double value, double failsAt, Basis basis, String from) {
    /** A line this many times beyond its runs is a guess. */
    private static final double FAR = 10;
    /** A line through two points leaves nothing to judge it by. */
    private static final int POINTS_LEAST = 3;

    private static final Estimate NOTHING = new Estimate(Double.NaN, Double.NaN, Basis.NOT_RUN, "no run");

    /** Works it out for one design. */
    public static Estimate of(Slopes slopes, Design design, Metric metric, Demand demand) {
        List<Run> told = slopes.latest().stream()
                .filter(run -> run.design() == design && run.whole())
                .filter(run -> !Double.isNaN(run.value(metric)))
                .toList();
        Estimate measured = measured(told, metric, demand);
        if (measured != null) {
            return measured;
        }
        return slopes.fits().stream()
                .filter(fit -> fit.design() == design && metric.key().equals(fit.metric()))
                .filter(fit -> fit.per() == Per.POOLER && fit.points() >= POINTS_LEAST)
                .map(fit -> new Line(slopes, fit, metric, demand))
                .max(Comparator.comparingInt(Line::reach)
                        .thenComparing(line -> line.fit.trial() == null)
                        .thenComparing(line -> line.at(demand.poolers())))
                .map(Line::estimate)
                .map(estimate -> failed(slopes, design, demand, estimate))
                .orElse(NOTHING);
    }

    /** A line is no word against a run of full size that failed: that is said beside it. */
    private static Estimate failed(Slopes slopes, Design design, Demand demand, Estimate line) {
        boolean failed = slopes.latest().stream()
                .anyMatch(run -> run.design() == design
                        && !run.whole()
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

    /** What the largest run of a design told, at the operators' rate; empty where none did. */
    static String largest(Slopes slopes, Design design, Metric metric) {
        return slopes.latest().stream()
                .filter(run -> run.design() == design && run.whole() && run.trial() == null)
                .filter(run -> !Double.isNaN(run.value(metric)))
                .max(Comparator.comparingInt(Run::poolers)
                        .thenComparingInt(Run::databases)
                        .thenComparingDouble(run -> atRate(run, metric)))
                .map(run -> metric.unit().words(atRate(run, metric)) + " (" + run.poolers() + " poolers)")
                .orElse("");
    }

    private static double atRate(Run run, Metric metric) {
        double idle = metric.idle() == null ? Double.NaN : run.value(metric.idle());
        return atRate(run.value(metric), idle, run.factor());
    }

    private static double atRate(double value, double idle, double factor) {
        return Double.isNaN(idle) ? value : idle + Math.max(0, value - idle) / factor;
    }

    private static Estimate measured(List<Run> told, Metric metric, Demand demand) {
        Run worst = told.stream()
                .filter(run -> run.poolers() >= demand.poolers() && run.databases() >= demand.databases())
                .max(Comparator.comparing((Run run) -> run.trial() == null)
                        .thenComparingDouble(run -> atRate(run, metric)))
                .orElse(null);
        if (worst == null) {
            return null;
        }
        double budget = metric.budget(demand);
        double failsAt = told.stream()
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
                worst.words() + (scaled ? "; as run " + metric.unit().words(worst.value(metric)) : ""));
    }

    /** A line over poolers, with what stands beside it. */
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
            runs = slopes.latest().stream().filter(fit::through).toList();
            idle = metric.idle() == null
                    ? null
                    : slopes.fits().stream()
                            .filter(fit::beside)
                            .filter(other -> metric.idle().key().equals(other.metric()))
                            .findFirst()
                            .orElse(null);
            perDatabase = slopes.fits().stream()
                    .filter(other -> other.per() == Per.DATABASE && other.design() == fit.design())
                    .filter(other -> metric.key().equals(other.metric()))
                    .mapToDouble(Fit::slope)
                    .max()
                    .orElse(0);
        }

        /** The greatest number of poolers that it rests on. */
        int reach() {
            return runs.stream().mapToInt(Run::poolers).max().orElse(0);
        }

        private double factor() {
            return runs.stream().mapToDouble(Run::factor).min().orElse(1);
        }

        /** What further databases add, where the runs had fewer than the operators have. */
        private double moreDatabases() {
            int had = fit.databases() > 0 ? fit.databases() : demand.databases();
            return Math.max(0, perDatabase) * Math.max(0, demand.databases() - had);
        }

        double at(double poolers) {
            return atRate(fit.at(poolers) + moreDatabases(), idle == null ? Double.NaN : idle.at(poolers), factor());
        }

        Estimate estimate() {
            double budget = metric.budget(demand);
            double value = at(demand.poolers());
            if (value < 0 || idle != null && idle.at(demand.poolers()) < 0) {
                return falling(budget);
            }
            double failsAt = Double.NaN;
            for (int poolers = demand.poolers(); value > budget && poolers > 0 && at(poolers) > budget; poolers--) {
                failsAt = poolers;
            }
            String times = factor() == 1 ? "" : " x " + Unit.number(factor());
            String from = String.format(
                    Locale.ROOT,
                    "%s + %s a pooler, %s%s, %d points to %d, residual %s%s%s",
                    Unit.number(fit.intercept()),
                    Unit.number(fit.slope()),
                    fit.load().word(),
                    times,
                    fit.points(),
                    reach(),
                    Unit.number(fit.residual()),
                    moreDatabases() > 0 ? ", databases added" : "",
                    fit.trial() == null ? "" : ", trial: " + fit.trial());
            return new Estimate(value, failsAt, basis(), from);
        }

        /**
         * What falls with size, as poolers that share a process do, and can't fall below zero: the largest run stands
         * for more.
         */
        private Estimate falling(double budget) {
            Run largest = runs.stream()
                    .filter(run -> !Double.isNaN(run.value(metric)))
                    .max(Comparator.comparingInt(Run::poolers))
                    .orElse(null);
            if (largest == null) {
                return NOTHING;
            }
            double value = atRate(largest, metric);
            return new Estimate(
                    value,
                    value > budget ? largest.poolers() : Double.NaN,
                    basis(),
                    "falls with size, taken as at " + largest.poolers() + ", " + largest.words());
        }

        private Basis basis() {
            if ((double) demand.poolers() / reach() > FAR) {
                return Basis.GUESSED;
            }
            return fit.trial() == null ? Basis.COMPUTED : Basis.TRIAL;
        }
    }
}
