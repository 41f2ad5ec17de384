package lupinvalve.lab;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinvalve.drills.Drill;
import lupinvalve.drills.DrillResult;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Runs a drill for each seed, one after another. Each has series of signals and kills at the earliest time the platform
 * may send them, stepped clocks, failing system calls, connection storms, drains and an overloaded discovery, while
 * clients keep using their connections. Exit code 1 if any drill failed.
 */
public final class SoakCommand extends DrillOptions {
    private static final Pattern NUMBER_FIELD = Pattern.compile("\"(\\w+)\":(\\d+)[,}]");
    private static final List<String> SUMMED_FIELDS = List.of(
            "requests",
            "lost",
            "doubled",
            "stale",
            "unanswered",
            "ended_in_order",
            "reset",
            "late_after_drain",
            "late_after_departure",
            "cold_overrun",
            "not_ready_10s",
            "divergent",
            "unclean");
    private static final int MAX_SHOWN_FINDINGS = 5;

    @Option(name = "--seeds", usage = "number of seeds, the first of which is --seed")
    private int seeds = 50;

    @Option(name = "--poolers", usage = "number of poolers, 3 to 9")
    private int poolers = 3;

    @Option(name = "--clients", usage = "clients per pooler that pipeline requests, pause and read slowly")
    private int clients = 40;

    @Option(
            name = "--sockets",
            usage = "limit of sockets in each pooler's configuration: low enough that idle connections are closed")
    private int sockets = 96;

    @Option(name = "--cores", usage = "number of cores that all poolers share, so that they contend; 0 for all cores")
    private int cores;

    @Option(name = "--groups", usage = "number of db sets of three db nodes each")
    private int groups = 2;

    @Override
    public int run(PrintStream out) throws Exception {
        Map<String, Long> sums = new TreeMap<>();
        List<Long> failedSeeds = new ArrayList<>();
        for (long currentSeed = seed; currentSeed < seed + seeds; currentSeed++) {
            DrillResult result = runDrill(currentSeed, log(out));
            Matcher field = NUMBER_FIELD.matcher(result.json());
            while (field.find()) {
                sums.merge(field.group(1), Long.parseLong(field.group(2)), Long::sum);
            }
            out.println("seed " + currentSeed + " " + (result.good() ? "good" : "red") + " " + result.json());
            if (!result.good()) {
                failedSeeds.add(currentSeed);
                result.findings().stream().limit(MAX_SHOWN_FINDINGS).forEach(line -> out.println("  " + line));
            }
        }
        StringBuilder summary = new StringBuilder("{\"seeds\":" + seeds);
        SUMMED_FIELDS.forEach(
                name -> summary.append(String.format(Locale.ROOT, ",\"%s\":%d", name, sums.getOrDefault(name, 0L))));
        out.println(summary.append(",\"red\":").append(failedSeeds).append('}'));
        return failedSeeds.isEmpty() ? 0 : 1;
    }

    private DrillResult runDrill(long drillSeed, PrintStream log) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.SOAK, poolers, groups, seconds * 1000L, drillSeed);
        Drill drill = new Drill(new Drill.Setting(scenario, config, drillSeed, false, log, List.of(), 0, "off"));
        boolean good = false;
        try {
            if (debug) {
                drill.debug();
            }
            drill.variedClients(clients, sockets);
            if (cores > 0) {
                drill.cores(cores);
            }
            drill.start();
            drill.play();
            DrillResult result = drill.judge(true);
            good = result.good();
            return result;
        } finally {
            drill.close(keep && !good);
            if (keep && !good) {
                log.println("kept: " + drill.folder());
            }
        }
    }
}
