package lupinvalve.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/** What a scale run is told on the command line. */
public class ScaleOptions {
    static final int POOLERS_MOST = 2_000;
    static final int DAEMONS_MOST = 5;
    static final int SECONDS_LEAST = 5;
    static final int SECONDS_MOST = 3_600;
    static final int DATABASES_MOST = 4_000;
    static final double FACTOR_MOST = 10_000;
    private static final int REGION_DELAY_MOST = 500;

    /** An option's value that is not possible; the message has both. */
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
    int regionDelay;

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

    /** Checks all values. */
    void check() throws BadValue {
        within("--poolers", poolers, 1, POOLERS_MOST);
        within("--databases", databases, 0, DATABASES_MOST);
        within("--daemons", daemons, 0, DAEMONS_MOST);
        within("--seconds", seconds, SECONDS_LEAST, SECONDS_MOST);
        within("--region-delay-ms", regionDelay, 0, REGION_DELAY_MOST);
        factor("--change-factor", changeFactor);
        factor("--restart-factor", restartFactor);
        one("--design", design, Arrays.stream(Design.values()).map(Design::word).toList());
        one(
                "--load",
                load,
                Arrays.stream(Load.Kind.values()).map(Load.Kind::word).toList());
        list("--sizes", sizes, 1, POOLERS_MOST);
        list("--documents", documents, 0, DATABASES_MOST);
        if (!Files.isReadable(config)) {
            throw new BadValue("--config", config, "it can't be read");
        }
        if (slopes != null
                && (Files.isDirectory(slopes)
                        || !Files.isDirectory(slopes.toAbsolutePath().getParent()))) {
            throw new BadValue("--slopes", slopes, "a file in a folder that is there is possible");
        }
    }

    private static void within(String option, int value, int least, int most) throws BadValue {
        if (value < least || value > most) {
            throw new BadValue(option, value, least + " to " + most + " are possible");
        }
    }

    private static void factor(String option, double value) throws BadValue {
        if (!(value > 0 && value <= FACTOR_MOST)) {
            throw new BadValue(option, value, "more than 0, up to " + (long) FACTOR_MOST + " are possible");
        }
    }

    private static void one(String option, String value, java.util.List<String> possible) throws BadValue {
        if (!possible.contains(value)) {
            throw new BadValue(option, value, String.join(", ", possible) + " are possible");
        }
    }

    private static int[] list(String option, String value, int least, int most) throws BadValue {
        try {
            int[] numbers =
                    Arrays.stream(value.split(",")).mapToInt(Integer::parseInt).toArray();
            for (int number : numbers) {
                within(option, number, least, most);
            }
            return numbers;
        } catch (NumberFormatException e) {
            throw new BadValue(option, value, "numbers with commas between are possible");
        }
    }

    int[] sizeList() throws BadValue {
        return list("--sizes", sizes, 1, POOLERS_MOST);
    }

    int[] documentList() throws BadValue {
        return list("--documents", documents, 0, DATABASES_MOST);
    }

    Design design() {
        return Design.valueOf(design.toUpperCase(Locale.ROOT));
    }

    Load.Kind load() {
        return Load.Kind.valueOf(load.toUpperCase(Locale.ROOT));
    }

    /** The run that these describe. */
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
                regionDelay,
                config,
                keep);
    }
}
