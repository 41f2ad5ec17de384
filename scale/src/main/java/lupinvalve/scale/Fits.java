package lupinvalve.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Fits lines by least squares to runs that differ only in the number of poolers or only in the number of databases.
 * Without I/O.
 */
final class Fits {
    private static final int MIN_DISTINCT_SIZES = 2;
    private static final int SIGNIFICANT_DIGITS = 6;

    private Fits() {}

    /**
     * Returns all lines that can be fitted. Of runs with the same key only the last one with metrics counts; failed
     * runs have none.
     */
    static List<SlopesFile.Fit> of(List<SlopesFile.Run> runs) {
        Map<String, SlopesFile.Run> last = new LinkedHashMap<>();
        for (SlopesFile.Run run : runs) {
            if (run.metrics() != null) {
                last.put(run.key(), run);
            }
        }
        List<SlopesFile.Fit> fits = new ArrayList<>();
        groupedBy(last.values(), one -> one.databases()).forEach(group -> fits.addAll(fitGroup(group, true)));
        groupedBy(last.values(), one -> one.poolers()).forEach(group -> fits.addAll(fitGroup(group, false)));
        return fits;
    }

    private static Collection<List<SlopesFile.Run>> groupedBy(
            Collection<SlopesFile.Run> runs, Function<SlopesFile.Run, Integer> fixed) {
        Map<String, List<SlopesFile.Run>> groups = new TreeMap<>();
        for (SlopesFile.Run run : runs) {
            String key = run.design() + " " + run.load() + " " + run.trial() + " " + fixed.apply(run);
            groups.computeIfAbsent(key, k -> new ArrayList<>()).add(run);
        }
        return groups.values();
    }

    private static List<SlopesFile.Fit> fitGroup(List<SlopesFile.Run> runs, boolean perPooler) {
        ToIntFunction<SlopesFile.Run> size = perPooler ? SlopesFile.Run::poolers : SlopesFile.Run::databases;
        List<SlopesFile.Fit> fits = new ArrayList<>();
        if (runs.stream().mapToInt(size).distinct().count() < MIN_DISTINCT_SIZES) {
            return fits;
        }
        TreeSet<String> metrics = new TreeSet<>();
        runs.forEach(run -> metrics.addAll(run.metrics().keySet()));
        for (String metric : metrics) {
            SlopesFile.Fit fit = fit(runs, metric, size, perPooler);
            if (fit != null) {
                fits.add(fit);
            }
        }
        return fits;
    }

    private static SlopesFile.Fit fit(
            List<SlopesFile.Run> runs, String metric, ToIntFunction<SlopesFile.Run> size, boolean perPooler) {
        SimpleRegression line = new SimpleRegression();
        TreeSet<Integer> sizes = new TreeSet<>();
        for (SlopesFile.Run run : runs) {
            Double value = run.metrics().get(metric);
            if (value != null) {
                line.addData(size.applyAsInt(run), value);
                sizes.add(size.applyAsInt(run));
            }
        }
        if (sizes.size() < MIN_DISTINCT_SIZES) {
            return null;
        }
        SlopesFile.Run first = runs.get(0);
        double residual = Math.sqrt(line.getSumSquaredErrors() / line.getN());
        return new SlopesFile.Fit(
                first.design(),
                metric,
                perPooler ? "pooler" : "database",
                first.load(),
                perPooler ? null : first.poolers(),
                perPooler ? first.databases() : null,
                first.trial(),
                rounded(line.getSlope()),
                rounded(line.getIntercept()),
                rounded(residual),
                (int) line.getN());
    }

    /** Rounds to 6 significant digits; 0 if the value is not finite. */
    static double rounded(double value) {
        if (value == 0 || Double.isNaN(value) || Double.isInfinite(value)) {
            return 0;
        }
        return new java.math.BigDecimal(value)
                .round(new java.math.MathContext(SIGNIFICANT_DIGITS))
                .doubleValue();
    }
}
