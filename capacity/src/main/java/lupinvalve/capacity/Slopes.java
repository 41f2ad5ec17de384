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
 * Measurements of scale runs and the straight lines fitted to them.
 *
 * @param machine description of the machine of the runs
 * @param commit commit of the program; a run may name a different one
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Slopes(
        @JsonProperty("machine") String machine,
        @JsonProperty("commit") String commit,
        @JsonProperty("runs") List<Run> runs,
        @JsonProperty("fits") List<Fit> fits) {
    /** How poolers receive the configuration. */
    public enum Design {
        /** Each pooler is a member of the Raft group. */
        @JsonProperty("members")
        MEMBERS,
        /** Poolers subscribe to a group of control members. */
        @JsonProperty("subscriptions")
        SUBSCRIPTIONS
    }

    /** Kind of load during a run. */
    public enum Load {
        @JsonProperty("changes")
        CHANGES,
        @JsonProperty("restarts")
        RESTARTS,
        @JsonProperty("mixed")
        MIXED;

        /** Returns the name used on the page. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Size over which a line is fitted. */
    public enum Per {
        @JsonProperty("pooler")
        POOLER,
        @JsonProperty("database")
        DATABASE
    }

    /**
     * A run.
     *
     * @param changeFactor rate of changes as a multiple of the operators' mean; 0 if not recorded
     * @param restartFactor rate of restarts as a multiple of the operators' mean; 0 if not recorded
     * @param trial change to the program under trial in the run, or null
     * @param failed reason of the failure, or null
     * @param divergent number of findings of contents that were not proposed for their revision, or that differ between
     *     poolers
     * @param lost number of acknowledged changes that were lost
     * @param unfencedLate pairs of a change and a pooler that acted on an older version after the time limit
     * @param metrics values by {@link Metric#key}
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

        /** Whether the run completed without failure. */
        public boolean completed() {
            return failed == null || failed.isEmpty();
        }

        /** Returns how the run ended, in the page's words. */
        public String ended() {
            if (!completed()) {
                return "failed: " + failed;
            }
            return divergent + lost + unfencedLate == 0
                    ? "whole"
                    : String.format(
                            Locale.ROOT, "whole; **divergent %d, lost %d, late %d**", divergent, lost, unfencedLate);
        }

        /** Returns the value of a metric, or NaN if the run has none. */
        public double value(Metric metric) {
            Double value = metrics.get(metric.key());
            return value == null ? Double.NaN : value;
        }

        /**
         * Returns the factor by which the load was heavier than the operators' mean, the smaller one for a mixed load;
         * 1 if not recorded.
         */
        public double loadFactor() {
            double factor =
                    switch (load) {
                        case CHANGES -> changeFactor;
                        case RESTARTS -> restartFactor;
                        case MIXED -> Math.min(changeFactor, restartFactor);
                    };
            return factor > 0 ? factor : 1;
        }

        /** Returns the description of the run used on the page. */
        public String description() {
            String times = loadFactor() == 1 ? "" : " x " + Unit.number(loadFactor());
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
     * A straight line fitted to the runs' values.
     *
     * @param trial change to the program under trial in the runs, or null
     * @param residual root mean square of the deviations from the line
     * @param points number of points that the line is fitted to
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

        /** Returns the line's value at a size. */
        public double at(double size) {
            return intercept + slope * size;
        }

        /** Whether a run is one of those that this line is fitted to. */
        public boolean includes(Run run) {
            return run.completed()
                    && run.design() == design
                    && run.load() == load
                    && Objects.equals(run.trial(), trial)
                    && (per != Per.POOLER || databases == 0 || run.databases() == databases);
        }

        /** Whether another line is fitted to the same runs. */
        public boolean hasSameRunsAs(Fit other) {
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

    /** Returns the last run of each set of repetitions, as the lines use them. */
    List<Run> latest() {
        Map<String, Run> last = new LinkedHashMap<>();
        for (Run run : runs) {
            last.put(
                    run.design() + " " + run.load() + " " + run.poolers() + " " + run.databases() + " " + run.trial(),
                    run);
        }
        return List.copyOf(last.values());
    }

    /** Returns an instance without runs. */
    public static Slopes none() {
        return new Slopes("", "", List.of(), List.of());
    }

    /** Parses the file's content. */
    public static Slopes read(byte[] json) throws IOException {
        return new ObjectMapper().readValue(json, Slopes.class);
    }
}
