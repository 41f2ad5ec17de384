package lupinvalve.scale;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs each fleet size, under changes only and under restarts only, and adds each run to a file together with the lines
 * fitted to all runs.
 */
final class Slopes {
    private static final int MAX_FAILURE_CHARACTERS = 300;
    private static final int KILOBYTES_PER_GIGABYTE = 1 << 20;
    private static final String NOTE =
            "Loopback on one machine beside other work; latencies hold for that, processor time is by process "
                    + "counters and includes what compiles the code. Control is the mean hollow pooler: its host's process divided by its "
                    + "poolers. In the design members, bytes that members and poolers exchanged past the proxies are booked on the leader, "
                    + "those between poolers too. Hollow poolers' folders are in memory, control members' on the disk. No TLS. Hosts of hollow poolers run with Java's default compilers, daemons with the first alone.";
    private final ScaleOptions options;
    private final PrintStream out;
    private final Progress progress;
    /** Git commit of the program when the runs started. */
    private final String commit = commit();

    Slopes(ScaleOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
        progress = new Progress(options.json);
    }

    /** Returns 0 if every run produced metrics, otherwise 1. */
    int run() throws IOException, InterruptedException, ScaleOptions.BadValue {
        int failed = 0;
        for (RunSpec spec : specs()) {
            progress.say(spec.design().word() + ", " + spec.load().word() + ", " + spec.poolers() + " poolers, "
                    + spec.databases() + " databases");
            SlopesFile.Run run = runOne(spec);
            failed += run.failed() == null ? 0 : 1;
            SlopesFile.read(options.slopes).with(run, machine(), NOTE).write(options.slopes);
            out.println(Json.line(run));
        }
        return failed == 0 ? 0 : 1;
    }

    /**
     * Returns a run of each fleet size with the largest document, and of each other document size at the second fleet
     * size.
     */
    private List<RunSpec> specs() throws ScaleOptions.BadValue {
        int[] sizes = options.sizeList();
        int[] documents = options.documentList();
        int largest = documents[documents.length - 1];
        int second = sizes[Math.min(1, sizes.length - 1)];
        List<Load.Kind> loads = options.load() == Load.Kind.MIXED
                ? List.of(Load.Kind.CHANGES, Load.Kind.RESTARTS)
                : List.of(options.load());
        List<RunSpec> specs = new ArrayList<>();
        for (Load.Kind load : loads) {
            for (int size : sizes) {
                specs.add(options.spec().withSize(load, size, largest));
            }
            for (int document : documents) {
                if (document != largest) {
                    specs.add(options.spec().withSize(load, second, document));
                }
            }
        }
        return specs;
    }

    private SlopesFile.Run runOne(RunSpec spec) throws InterruptedException {
        try (ScaleRun run = new ScaleRun(spec, progress)) {
            return toRun(spec, run.run(), null);
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage());
            return toRun(spec, null, why.substring(0, Math.min(MAX_FAILURE_CHARACTERS, why.length())));
        }
    }

    private SlopesFile.Run toRun(RunSpec spec, RunResult result, String failed) {
        boolean succeeded = result != null;
        return new SlopesFile.Run(
                spec.design().word(),
                spec.load().word(),
                spec.poolers(),
                spec.databases(),
                spec.daemons(),
                spec.seconds(),
                spec.seed(),
                spec.changeFactor(),
                spec.restartFactor(),
                commit,
                options.trial,
                failed,
                succeeded ? result.changes() : null,
                succeeded ? result.restarts() : null,
                succeeded ? result.divergent() : null,
                succeeded ? result.lost() : null,
                succeeded ? result.unfencedLate() : null,
                succeeded ? result.over() : null,
                succeeded ? figures(result.metrics()) : null);
    }

    private static Map<String, Double> figures(Metrics metrics) {
        Map<String, Double> figures =
                new TreeMap<>(Json.MAPPER.convertValue(metrics, new TypeReference<Map<String, Double>>() {}));
        figures.replaceAll((name, value) -> Fits.rounded(value));
        return figures;
    }

    private static String commit() {
        try {
            Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
                    .redirectErrorStream(true)
                    .start();
            try (BufferedReader in =
                    new BufferedReader(new InputStreamReader(git.getInputStream(), StandardCharsets.UTF_8))) {
                String line = in.readLine();
                return line != null && line.matches("[0-9a-f]+") ? line : "unknown";
            }
        } catch (IOException e) {
            return "unknown";
        }
    }

    private static String machine() throws IOException {
        long kilobytes = 0;
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith("MemTotal:")) {
                kilobytes = Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return Runtime.getRuntime().availableProcessors() + " cores, "
                + Math.round((double) kilobytes / KILOBYTES_PER_GIGABYTE) + " GiB, Java "
                + Runtime.version().feature();
    }
}
