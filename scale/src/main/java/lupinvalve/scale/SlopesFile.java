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
 * File with all runs and the lines fitted to them.
 *
 * @param note conditions that apply to all runs
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record SlopesFile(String machine, String commit, String note, List<Run> runs, List<Fit> fits) {
    /**
     * A run; failed runs are kept too.
     *
     * @param trial change to the program under trial in this run, or null for the unchanged program
     * @param failed reason why the run produced no metrics, or null
     * @param unfencedLate pairs of a change and a pooler that acted on an older version after the limit
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
        /** Identifies repetitions of a run, of which only the last counts for the fits. */
        String key() {
            return design + " " + load + " " + poolers + " " + databases + " " + trial;
        }
    }

    /**
     * A line fitted by least squares.
     *
     * @param per "pooler" or "database"
     * @param poolers number of poolers in all runs, or null if the line is per pooler
     * @param databases number of databases in all runs, or null if the line is per database
     * @param residual root mean square of the deviations from the line
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

    /** Reads a file; returns an empty one if the file does not exist. */
    static SlopesFile read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new SlopesFile("", "", "", List.of(), List.of());
        }
        return Json.MAPPER.readValue(Files.readAllBytes(file), SlopesFile.class);
    }

    /** Returns a copy with one more run and with the lines fitted again. */
    SlopesFile with(Run run, String onMachine, String note) {
        List<Run> all = new ArrayList<>(runs);
        all.add(run);
        return new SlopesFile(onMachine, run.commit(), note, all, Fits.of(all));
    }

    /** Writes one line per run and per fit, so that a line-based diff of two versions is readable. */
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
