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

/** Runs the sizes, changes alone and restarts alone, and keeps each run in a file with the lines that fit them. */
final class Slopes {
    private static final int FAILED_MOST = 300;
    private static final int KILOBYTES_A_GIGABYTE = 1 << 20;
    private static final String NOTE =
            "Loopback on one machine beside other work; latencies hold for that, processor time is by process "
                    + "counters and includes what compiles the code. Control is the mean hollow pooler: its host's process divided by its "
                    + "poolers. In the design members, bytes that members and poolers exchanged past the proxies are booked on the leader, "
                    + "those between poolers too. Hollow poolers' folders are in memory, control members' on the disk. No TLS. Hosts of hollow poolers run with Java's default compilers, daemons with the first alone.";
    private final ScaleOptions options;
    private final PrintStream out;
    private final Progress progress;
    /** The program's, as it was when the runs began. */
    private final String commit = commit();

    Slopes(ScaleOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
        progress = new Progress(options.json);
    }

    /** Gives 0 where each run came to figures. */
    int run() throws IOException, InterruptedException, ScaleOptions.BadValue {
        int failed = 0;
        for (RunSpec spec : specs()) {
            progress.say(spec.design().word() + ", " + spec.load().word() + ", " + spec.poolers() + " poolers, "
                    + spec.databases() + " databases");
            SlopesFile.Run run = one(spec);
            failed += run.failed() == null ? 0 : 1;
            SlopesFile.read(options.slopes).with(run, machine(), NOTE).write(options.slopes);
            out.println(Json.line(run));
        }
        return failed == 0 ? 0 : 1;
    }

    /** All sizes with the longest document, and all other documents at the second size. */
    private List<RunSpec> specs() throws ScaleOptions.BadValue {
        int[] sizes = options.sizeList();
        int[] documents = options.documentList();
        int longest = documents[documents.length - 1];
        int second = sizes[Math.min(1, sizes.length - 1)];
        List<Load.Kind> loads = options.load() == Load.Kind.MIXED
                ? List.of(Load.Kind.CHANGES, Load.Kind.RESTARTS)
                : List.of(options.load());
        List<RunSpec> specs = new ArrayList<>();
        for (Load.Kind load : loads) {
            for (int size : sizes) {
                specs.add(options.spec().sized(load, size, longest));
            }
            for (int document : documents) {
                if (document != longest) {
                    specs.add(options.spec().sized(load, second, document));
                }
            }
        }
        return specs;
    }

    private SlopesFile.Run one(RunSpec spec) throws InterruptedException {
        try (ScaleRun run = new ScaleRun(spec, progress)) {
            return made(spec, run.run(), null);
        } catch (IOException e) {
            String why = String.valueOf(e.getMessage());
            return made(spec, null, why.substring(0, Math.min(FAILED_MOST, why.length())));
        }
    }

    private SlopesFile.Run made(RunSpec spec, RunResult result, String failed) {
        boolean came = result != null;
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
                came ? result.changes() : null,
                came ? result.restarts() : null,
                came ? result.divergent() : null,
                came ? result.lost() : null,
                came ? result.unfencedLate() : null,
                came ? result.over() : null,
                came ? figures(result.metrics()) : null);
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
                + Math.round((double) kilobytes / KILOBYTES_A_GIGABYTE) + " GiB, Java "
                + Runtime.version().feature();
    }
}
