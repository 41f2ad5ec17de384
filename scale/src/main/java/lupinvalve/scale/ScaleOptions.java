package lupinvalve.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** Command line options of a scale run. */
public class ScaleOptions {
    static final int MAX_POOLERS = 2_000;
    static final int MAX_DAEMONS = 5;
    static final int MIN_SECONDS = 5;
    static final int MAX_SECONDS = 3_600;
    static final int MAX_DATABASES = 4_000;
    static final double MAX_FACTOR = 10_000;
    private static final int MAX_REGION_DELAY_MILLIS = 500;

    /** Invalid value of an option; the message names the option, its value and the valid values. */
    public static final class BadValue extends Exception {
        private static final long serialVersionUID = 1;

        BadValue(String option, Object value, String possible) {
            super(option + " is " + value + "; " + possible);
        }
    }

    @Option(name = "--poolers", metaVar = "N", usage = "hollow poolers")
    int poolers = 910;

    @Option(name = "--databases", metaVar = "N", usage = "entries of the configuration")
    int databases = 1_200;

    @Option(name = "--daemons", metaVar = "N", usage = "whole poolers, processes of their own")
    int daemons = 3;

    @Option(name = "--seconds", metaVar = "N", usage = "how long load goes on")
    int seconds = 120;

    @Option(name = "--seed", metaVar = "N", usage = "of the load")
    long seed = 7;

    @Option(name = "--design", metaVar = "NAME", usage = "members or subscriptions")
    String design = Design.SUBSCRIPTIONS.word();

    @Option(name = "--load", metaVar = "NAME", usage = "changes, restarts, or mixed: both with faults")
    String load = Load.Kind.MIXED.word();

    @Option(name = "--change-factor", metaVar = "X", usage = "times 3,800 changes a day")
    double changeFactor = 12;

    @Option(name = "--restart-factor", metaVar = "X", usage = "times 340 restarts a day")
    double restartFactor = 100;

    @Option(name = "--region-delay-ms", metaVar = "N", usage = "each way between regions")
    int regionDelayMillis;

    @Option(name = "--config", metaVar = "FILE", usage = "a platform's file to start daemons from")
    Path config = Path.of("example/config.json");

    @Option(name = "--slopes", metaVar = "FILE", usage = "runs the sizes and adds them to this file")
    Path slopes;

    @Option(name = "--sizes", metaVar = "N,N", usage = "with --slopes: sizes of the fleet")
    String sizes = "50,150,400,910";

    @Option(name = "--documents", metaVar = "N,N", usage = "with --slopes: databases of the configuration")
    String documents = "100,400,1200";

    @Option(name = "--trial", metaVar = "WHAT", usage = "with --slopes: what of the program was changed for a trial")
    String trial;

    @Option(name = "--keep", usage = "keep the folder with logs and disks")
    boolean keep;

    @Option(name = "--json", usage = "only the last line")
    boolean json;

    /** Checks the values of all options. */
    void check() throws BadValue {
        checkRange("--poolers", poolers, 1, MAX_POOLERS);
        checkRange("--databases", databases, 0, MAX_DATABASES);
        checkRange("--daemons", daemons, 0, MAX_DAEMONS);
        checkRange("--seconds", seconds, MIN_SECONDS, MAX_SECONDS);
        checkRange("--region-delay-ms", regionDelayMillis, 0, MAX_REGION_DELAY_MILLIS);
        checkFactor("--change-factor", changeFactor);
        checkFactor("--restart-factor", restartFactor);
        checkOneOf(
                "--design",
                design,
                Arrays.stream(Design.values()).map(Design::word).toList());
        checkOneOf(
                "--load",
                load,
                Arrays.stream(Load.Kind.values()).map(Load.Kind::word).toList());
        parseNumbers("--sizes", sizes, 1, MAX_POOLERS);
        parseNumbers("--documents", documents, 0, MAX_DATABASES);
        if (!Files.isReadable(config)) {
            throw new BadValue("--config", config, "it can't be read");
        }
        if (slopes != null
                && (Files.isDirectory(slopes)
                        || !Files.isDirectory(slopes.toAbsolutePath().getParent()))) {
            throw new BadValue("--slopes", slopes, "a file in a folder that is there is possible");
        }
    }

    private static void checkRange(String option, int value, int min, int max) throws BadValue {
        if (value < min || value > max) {
            throw new BadValue(option, value, min + " to " + max + " are possible");
        }
    }

    private static void checkFactor(String option, double value) throws BadValue {
        if (!(value > 0 && value <= MAX_FACTOR)) {
            throw new BadValue(option, value, "more than 0, up to " + (long) MAX_FACTOR + " are possible");
        }
    }

    private static void checkOneOf(String option, String value, java.util.List<String> possible) throws BadValue {
        if (!possible.contains(value)) {
            throw new BadValue(option, value, String.join(", ", possible) + " are possible");
        }
    }

    private static int[] parseNumbers(String option, String value, int min, int max) throws BadValue {
        try {
            int[] numbers =
                    Arrays.stream(value.split(",")).mapToInt(Integer::parseInt).toArray();
            for (int number : numbers) {
                checkRange(option, number, min, max);
            }
            return numbers;
        } catch (NumberFormatException e) {
            throw new BadValue(option, value, "numbers with commas between are possible");
        }
    }

    int[] sizeList() throws BadValue {
        return parseNumbers("--sizes", sizes, 1, MAX_POOLERS);
    }

    int[] documentList() throws BadValue {
        return parseNumbers("--documents", documents, 0, MAX_DATABASES);
    }

    Design design() {
        return Design.valueOf(design.toUpperCase(Locale.ROOT));
    }

    Load.Kind load() {
        return Load.Kind.valueOf(load.toUpperCase(Locale.ROOT));
    }

    /** Returns the run that the options describe. */
    RunSpec spec() {
        return new RunSpec(
                design(),
                load(),
                poolers,
                databases,
                daemons,
                seconds,
                seed,
                changeFactor,
                restartFactor,
                regionDelayMillis,
                config,
                keep);
    }
}
