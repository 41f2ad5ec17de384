package lupinvalve.scale;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The file of runs and of the lines that were fitted through them.
 *
 * @param note what holds for all runs
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record SlopesFile(String machine, String commit, String note, List<Run> runs, List<Fit> fits) {
    /**
     * One run; what failed stays too.
     *
     * @param trial what of the program was changed for it, or null for the program as it is
     * @param failed why it came to no figures, or null
     * @param unfencedLate pairs of a change and a pooler that acted on an older version past the limit
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Run(
            String design,
            String load,
            int poolers,
            int databases,
            int daemons,
            int seconds,
            long seed,
            double changeFactor,
            double restartFactor,
            String commit,
            String trial,
            String failed,
            Integer changes,
            Integer restarts,
            Integer divergent,
            Integer lost,
            Long unfencedLate,
            List<String> over,
            Map<String, Double> metrics) {
        /** Runs of the same of which the last one counts for the fits. */
        String key() {
            return design + " " + load + " " + poolers + " " + databases + " " + trial;
        }
    }

    /**
     * A line fitted by least squares.
     *
     * @param per "pooler" or "database"
     * @param poolers that were the same in all runs, or null where it is per pooler
     * @param databases that were the same in all runs, or null where it is per database
     * @param residual root of the mean square of what the line misses
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Fit(
            String design,
            String metric,
            String per,
            String load,
            Integer poolers,
            Integer databases,
            String trial,
            double slope,
            double intercept,
            double residual,
            int points) {}

    /** Reads a file, or begins one. */
    static SlopesFile read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new SlopesFile("", "", "", List.of(), List.of());
        }
        return Json.MAPPER.readValue(Files.readAllBytes(file), SlopesFile.class);
    }

    /** The same with one more run and the lines fitted anew. */
    SlopesFile with(Run run, String onMachine, String note) {
        List<Run> all = new ArrayList<>(runs);
        all.add(run);
        return new SlopesFile(onMachine, run.commit(), note, all, Fits.of(all));
    }

    /** One line a run and a fit, so that differences can be read. */
    void write(Path file) throws IOException {
        StringBuilder text = new StringBuilder("{\"machine\":")
                .append(Json.line(machine))
                .append(",\n\"commit\":")
                .append(Json.line(commit))
                .append(",\n\"note\":")
                .append(Json.line(note))
                .append(",\n\"runs\":[\n");
        lines(text, runs);
        text.append("],\n\"fits\":[\n");
        lines(text, fits);
        text.append("]}\n");
        Files.write(file, text.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void lines(StringBuilder text, List<?> records) {
        for (int i = 0; i < records.size(); i++) {
            text.append(Json.line(records.get(i))).append(i + 1 < records.size() ? ",\n" : "\n");
        }
    }
}
