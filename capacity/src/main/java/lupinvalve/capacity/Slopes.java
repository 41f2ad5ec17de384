package lupinvalve.capacity;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * What scale runs measured, and the straight lines fitted to it.
 *
 * @param machine on what it ran
 * @param commit which program ran; a run may name another
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Slopes(@JsonProperty("machine") String machine, @JsonProperty("commit") String commit,
        @JsonProperty("runs") List<Run> runs, @JsonProperty("fits") List<Fit> fits) {
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
        MIXED
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
     * @param failed why it failed, or null
     * @param metrics what it told, by {@link Metric#key}
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Run(@JsonProperty("design") Design design, @JsonProperty("load") Load load, @JsonProperty("poolers") int poolers,
            @JsonProperty("databases") int databases, @JsonProperty("seconds") double seconds, @JsonProperty("seed") long seed,
            @JsonProperty("commit") String commit, @JsonProperty("failed") String failed,
            @JsonProperty("metrics") Map<String, Double> metrics) {
        public Run {
            metrics = metrics == null ? Map.of() : Collections.unmodifiableMap(metrics);
        }

        /** Whether it came to its end. */
        public boolean whole() {
            return failed == null || failed.isEmpty();
        }

        /** What it told of a metric, or NaN. */
        public double value(Metric metric) {
            Double value = metrics.get(metric.key());
            return value == null ? Double.NaN : value;
        }

        /** What the page calls it. */
        public String words() {
            return String.format(java.util.Locale.ROOT, "%s, %d poolers, %d databases, %.0f s, seed %d", load == null ? "mixed"
                    : load.name().toLowerCase(java.util.Locale.ROOT), poolers, databases, seconds, seed);
        }
    }

    /**
     * A straight line through the runs' values.
     *
     * @param residual by how much the values are off the line, root mean square
     * @param points through how many
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Fit(@JsonProperty("design") Design design, @JsonProperty("metric") String metric, @JsonProperty("per") Per per,
            @JsonProperty("load") Load load, @JsonProperty("slope") double slope, @JsonProperty("intercept") double intercept,
            @JsonProperty("residual") double residual, @JsonProperty("points") int points) {
        /** The line's value. */
        public double at(double size) {
            return intercept + slope * size;
        }
    }

    public Slopes {
        runs = runs == null ? List.of() : List.copyOf(runs);
        fits = fits == null ? List.of() : List.copyOf(fits);
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
