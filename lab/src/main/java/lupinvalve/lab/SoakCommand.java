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
 * Drills one seed after another, each with signals in series and kills as early as the platform may send them, stepped
 * clocks, calls that fail, crowds, drains and overloaded discovery, while clients go on using their connections. Exit
 * code 1 where any was bad.
 */
public final class SoakCommand extends DrillOptions {
    private static final Pattern FIGURE = Pattern.compile("\"(\\w+)\":(\\d+)[,}]");
    private static final List<String> SUMS = List.of(
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
    private static final int SHOWN = 5;

    @Option(name = "--seeds", usage = "how many, from --seed on")
    private int seeds = 50;

    @Option(name = "--poolers", usage = "3 to 9")
    private int poolers = 3;

    @Option(name = "--clients", usage = "of each pooler that ask several things at once, rest and read slowly")
    private int clients = 40;

    @Option(
            name = "--sockets",
            usage = "what each pooler is told of its descriptors: so few that room is made of resting connections")
    private int sockets = 96;

    @Option(name = "--cores", usage = "to how many cores all poolers are held, so that they contend; 0 for all")
    private int cores;

    @Option(name = "--groups", usage = "db sets of three db nodes each")
    private int groups = 2;

    @Override
    public int run(PrintStream out) throws Exception {
        Map<String, Long> sums = new TreeMap<>();
        List<Long> red = new ArrayList<>();
        for (long each = seed; each < seed + seeds; each++) {
            DrillResult result = one(each, log(out));
            Matcher figure = FIGURE.matcher(result.json());
            while (figure.find()) {
                sums.merge(figure.group(1), Long.parseLong(figure.group(2)), Long::sum);
            }
            out.println("seed " + each + " " + (result.good() ? "good" : "red") + " " + result.json());
            if (!result.good()) {
                red.add(each);
                result.findings().stream().limit(SHOWN).forEach(line -> out.println("  " + line));
            }
        }
        StringBuilder total = new StringBuilder("{\"seeds\":" + seeds);
        SUMS.forEach(name -> total.append(String.format(Locale.ROOT, ",\"%s\":%d", name, sums.getOrDefault(name, 0L))));
        out.println(total.append(",\"red\":").append(red).append('}'));
        return red.isEmpty() ? 0 : 1;
    }

    private DrillResult one(long number, PrintStream log) throws Exception {
        Scenario scenario = Scenario.draw(Scenario.Mix.SOAK, poolers, groups, seconds * 1000L, number);
        Drill drill = new Drill(new Drill.Setting(scenario, config, number, false, log, List.of(), 0, "off"));
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
