package lupinvalve.capacity;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * What scale runs measured, and the straight lines fitted to it.
 *
 * @param machine on what it ran
 * @param commit which program ran; a run may name another
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Slopes(
        @JsonProperty("machine") String machine,
        @JsonProperty("commit") String commit,
        @JsonProperty("runs") List<Run> runs,
        @JsonProperty("fits") List<Fit> fits) {
    /** How poolers come by the configuration. */
    public enum Design {
        /** Each is a member of the group. */
        @JsonProperty("members")
        MEMBERS,
        /** They follow a group of control members. */
        @JsonProperty("subscriptions")
        SUBSCRIPTIONS
    }

    /** What was put on the group during a run. */
    public enum Load {
        @JsonProperty("changes")
        CHANGES,
        @JsonProperty("restarts")
        RESTARTS,
        @JsonProperty("mixed")
        MIXED;

        /** As the page says it. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** By what a line rises. */
    public enum Per {
        @JsonProperty("pooler")
        POOLER,
        @JsonProperty("database")
        DATABASE
    }

    /**
     * One run.
     *
     * @param changeFactor by how much more often than the operators' mean changes came; 0 where that is not told
     * @param restartFactor the same of restarts
     * @param trial what of the program was changed for it, or null
     * @param failed why it failed, or null
     * @param divergent contents of a revision that nobody put, or that differ
     * @param lost changes that were acknowledged and are gone
     * @param unfencedLate pairs of a change and a pooler that acted on an older one past its time
     * @param metrics what it told, by {@link Metric#key}
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Run(
            @JsonProperty("design") Design design,
            @JsonProperty("load") Load load,
            @JsonProperty("poolers") int poolers,
            @JsonProperty("databases") int databases,
            @JsonProperty("seconds") double seconds,
            @JsonProperty("seed") long seed,
            @JsonProperty("change_factor") double changeFactor,
            @JsonProperty("restart_factor") double restartFactor,
            @JsonProperty("commit") String commit,
            @JsonProperty("trial") String trial,
            @JsonProperty("failed") String failed,
            @JsonProperty("divergent") long divergent,
            @JsonProperty("lost") long lost,
            @JsonProperty("unfenced_late") long unfencedLate,
            @JsonProperty("metrics") Map<String, Double> metrics) {
        public Run {
            load = load == null ? Load.MIXED : load;
            metrics = metrics == null ? Map.of() : Collections.unmodifiableMap(metrics);
        }

        /** Whether it came to its end. */
        public boolean whole() {
            return failed == null || failed.isEmpty();
        }

        /** How it ended, as the page says it. */
        public String ended() {
            if (!whole()) {
                return "failed: " + failed;
            }
            return divergent + lost + unfencedLate == 0
                    ? "whole"
                    : String.format(
                            Locale.ROOT, "whole; **divergent %d, lost %d, late %d**", divergent, lost, unfencedLate);
        }

        /** What it told of a metric, or NaN. */
        public double value(Metric metric) {
            Double value = metrics.get(metric.key());
            return value == null ? Double.NaN : value;
        }

        /** By how much the load was heavier than the operators' mean, at the least. */
        public double factor() {
            double factor =
                    switch (load) {
                        case CHANGES -> changeFactor;
                        case RESTARTS -> restartFactor;
                        case MIXED -> Math.min(changeFactor, restartFactor);
                    };
            return factor > 0 ? factor : 1;
        }

        /** What the page calls it. */
        public String words() {
            String times = factor() == 1 ? "" : " x " + Unit.number(factor());
            return String.format(
                    Locale.ROOT,
                    "%s%s, %d poolers, %d databases, %.0f s, seed %d%s",
                    load.word(),
                    times,
                    poolers,
                    databases,
                    seconds,
                    seed,
                    trial == null ? "" : ", trial: " + trial);
        }
    }

    /**
     * A straight line through the runs' values.
     *
     * @param trial what of the program was changed for the runs, or null
     * @param residual by how much the values are off the line, root mean square
     * @param points through how many
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Fit(
            @JsonProperty("design") Design design,
            @JsonProperty("metric") String metric,
            @JsonProperty("per") Per per,
            @JsonProperty("load") Load load,
            @JsonProperty("trial") String trial,
            @JsonProperty("databases") int databases,
            @JsonProperty("slope") double slope,
            @JsonProperty("intercept") double intercept,
            @JsonProperty("residual") double residual,
            @JsonProperty("points") int points) {
        public Fit {
            load = load == null ? Load.MIXED : load;
        }

        /** The line's value. */
        public double at(double size) {
            return intercept + slope * size;
        }

        /** Whether a run is of those that such a line is drawn through. */
        public boolean through(Run run) {
            return run.whole()
                    && run.design() == design
                    && run.load() == load
                    && Objects.equals(run.trial(), trial)
                    && (per != Per.POOLER || databases == 0 || run.databases() == databases);
        }

        /** Whether another line is of the same runs. */
        public boolean beside(Fit other) {
            return other.design == design
                    && other.per == per
                    && other.load == load
                    && Objects.equals(other.trial, trial)
                    && other.databases == databases;
        }
    }

    public Slopes {
        runs = runs == null ? List.of() : List.copyOf(runs);
        fits = fits == null ? List.of() : List.copyOf(fits);
    }

    /** Of runs of the same the last one, as the lines have it. */
    List<Run> latest() {
        Map<String, Run> last = new LinkedHashMap<>();
        for (Run run : runs) {
            last.put(
                    run.design() + " " + run.load() + " " + run.poolers() + " " + run.databases() + " " + run.trial(),
                    run);
        }
        return List.copyOf(last.values());
    }

    /** Nothing has run yet. */
    public static Slopes none() {
        return new Slopes("", "", List.of(), List.of());
    }

    /** Reads the file's text. */
    public static Slopes read(byte[] json) throws IOException {
        return new ObjectMapper().readValue(json, Slopes.class);
    }
}
