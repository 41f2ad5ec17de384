package lupinvalve.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import lupinvalve.drills.Drill;
import lupinvalve.drills.DrillResult;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Runs real daemons against simulated db nodes, with a proxy between every pair and faults from a scenario file or a
 * seed. Exit code 1 if a request got no final response, a write was executed twice, or members diverged.
 */
public final class ProcessDrill extends DrillOptions {
    private static final int MAX_SHOWN_FINDINGS = 20;

    @Option(name = "--poolers", usage = "number of poolers, 3 to 9")
    private int poolers = 5;

    @Option(name = "--groups", usage = "number of db sets of three db nodes each")
    private int groups = 2;

    @Option(name = "--mix", usage = "kinds of faults that are drawn: all, store, one-way, flapping, crossing")
    private String mix = "all";

    @Option(name = "--scenario", metaVar = "FILE", usage = "faults from a file instead of the seed")
    private Path scenario;

    @Option(name = "--timeline", metaVar = "FILE", usage = "write the injected faults as a scenario that replays them")
    private Path timeline;

    @Option(
            name = "--lying-disks",
            usage = "defect to detect: killed poolers lose the end of the data that their disks reported as forced")
    private boolean lyingDisks;

    @Option(
            name = "--late-lists",
            metaVar = "MS",
            usage = "defect to detect: discovery's messages to p1 are delayed by this many milliseconds")
    private long lateListsMillis;

    private Scenario selectedScenario() throws IOException {
        if (scenario != null) {
            return Scenario.read(scenario.toString(), Files.readString(scenario));
        }
        try {
            Scenario.Mix drawnMix =
                    Scenario.Mix.valueOf(mix.toUpperCase(Locale.ROOT).replace('-', '_'));
            return Scenario.draw(drawnMix, poolers, groups, seconds * 1000L, seed);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "--mix " + mix + ", --poolers " + poolers + ", --groups " + groups + ": " + e.getMessage(), e);
        }
    }

    @Override
    public int run(PrintStream out) throws Exception {
        return run(out, this, selectedScenario(), new PlantedDefects(lyingDisks, lateListsMillis), 0, timeline);
    }

    /**
     * Defects planted in the drill to test that its checks detect them.
     *
     * @param lyingDisks whether killed poolers lose the end of the data that their disks reported as forced
     * @param lateListsMillis delay of discovery's messages to p1; 0 for none
     */
    record PlantedDefects(boolean lyingDisks, long lateListsMillis) {}

    /**
     * Runs a drill.
     *
     * @param leaderKillsMillis for how long leaders are killed one after another instead of the scenario's steps; 0 to
     *     run those
     */
    static int run(
            PrintStream out,
            DrillOptions options,
            Scenario scenario,
            PlantedDefects defects,
            long leaderKillsMillis,
            Path timeline)
            throws Exception {
        PrintStream log = options.log(out);
        Drill drill = new Drill(new Drill.Setting(
                scenario, options.config, options.seed, defects.lyingDisks(), log, List.of(), 0, "off"));
        if (options.debug) {
            drill.debug();
        }
        if (defects.lateListsMillis() > 0) {
            drill.lateLists("p1", defects.lateListsMillis());
        }
        try {
            drill.start();
            if (leaderKillsMillis > 0) {
                drill.killLeaders(leaderKillsMillis);
            } else {
                drill.play();
            }
            DrillResult result = drill.judge(true);
            result.findings().stream().limit(MAX_SHOWN_FINDINGS).forEach(log::println);
            if (timeline != null) {
                Files.writeString(timeline, drill.playedScenario().write());
            }
            out.println(result.json());
            return result.good() ? 0 : 1;
        } finally {
            drill.close(options.keep);
            if (options.keep) {
                out.println("kept: " + drill.folder());
            }
        }
    }
}
