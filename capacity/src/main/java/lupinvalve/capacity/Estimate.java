package lupinvalve.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.capacity.Slopes.Design;
import lupinvalve.capacity.Slopes.Fit;
import lupinvalve.capacity.Slopes.Load;
import lupinvalve.capacity.Slopes.Per;
import lupinvalve.capacity.Slopes.Run;

/**
 * What a metric comes to at the operators' size: what a run at that size told, else what the slopes give.
 *
 * @param value NaN where nothing tells it
 * @param failsAt the smallest number of poolers at which the line, or a run, is over the budget; NaN where none is
 */
public record Estimate(double value, double failsAt, Basis basis, String from) {
    private static final Estimate NOTHING = new Estimate(Double.NaN, Double.NaN, Basis.NOT_RUN, "no run");

    /** Works it out for one design. */
    public static Estimate of(Slopes slopes, Design design, Metric metric, Demand demand) {
        List<Run> told = slopes.runs().stream().filter(run -> run.design() == design && run.whole())
                .filter(run -> !Double.isNaN(run.value(metric))).toList();
        Estimate measured = measured(told, metric, demand);
        return measured != null ? measured : computed(slopes, told, design, metric, demand);
    }

    private static Estimate measured(List<Run> told, Metric metric, Demand demand) {
        Run worst = told.stream().filter(run -> run.poolers() >= demand.poolers() && run.databases() >= demand.databases())
                .max(Comparator.comparingDouble(run -> run.value(metric))).orElse(null);
        if (worst == null) {
            return null;
        }
        double budget = metric.budget(demand);
        double failsAt = told.stream().filter(run -> run.value(metric) > budget).mapToDouble(Run::poolers).min().orElse(Double.NaN);
        return new Estimate(worst.value(metric), failsAt, Basis.MEASURED, worst.words());
    }

    private static Estimate computed(Slopes slopes, List<Run> told, Design design, Metric metric, Demand demand) {
        Fit worst = slopes.fits().stream().filter(fit -> fit.design() == design && metric.key().equals(fit.metric()))
                .filter(fit -> fit.per() == Per.POOLER).max(Comparator.comparingDouble(fit -> fit.at(demand.poolers()))).orElse(null);
        if (worst == null) {
            return NOTHING;
        }
        double more = moreDatabases(slopes, told, worst, metric, demand);
        double value = worst.at(demand.poolers()) + more;
        double budget = metric.budget(demand);
        double failsAt = value > budget && worst.slope() > 0
                ? Math.max(1, Math.floor((budget - worst.intercept() - more) / worst.slope()) + 1) : Double.NaN;
        String from = String.format(java.util.Locale.ROOT, "slope %s a pooler from %s, %s, %d points, residual %s%s",
                Unit.number(worst.slope()), Unit.number(worst.intercept()), load(worst.load()), worst.points(),
                Unit.number(worst.residual()), more > 0 ? ", databases added" : "");
        return new Estimate(value, failsAt, Basis.COMPUTED, from);
    }

    /** What further databases add, where the runs over poolers had fewer than the operators have. */
    private static double moreDatabases(Slopes slopes, List<Run> told, Fit line, Metric metric, Demand demand) {
        TreeMap<Integer, TreeSet<Integer>> sizes = new TreeMap<>();
        told.stream().filter(run -> run.load() == line.load())
                .forEach(run -> sizes.computeIfAbsent(run.databases(), d -> new TreeSet<>()).add(run.poolers()));
        int had = sizes.entrySet().stream().max(Comparator.comparingInt(entry -> entry.getValue().size()))
                .map(java.util.Map.Entry::getKey).orElse(demand.databases());
        double slope = slopes.fits().stream().filter(fit -> fit.design() == line.design() && metric.key().equals(fit.metric()))
                .filter(fit -> fit.per() == Per.DATABASE).mapToDouble(Fit::slope).max().orElse(0);
        return Math.max(0, slope) * Math.max(0, demand.databases() - had);
    }

    private static String load(Load load) {
        return load == null ? "mixed" : load.name().toLowerCase(java.util.Locale.ROOT);
    }
}
