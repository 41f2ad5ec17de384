package lupinvalve.lab;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import lupinvalve.drills.Drill;
import lupinvalve.drills.DrillResult;
import lupinvalve.drills.Scenario;
import org.kohsuke.args4j.Option;

/**
 * Real daemons before stand-in db nodes, with a proxy on every pair and faults from a scenario file or a seed. Exit
 * code 1 where a request had no final answer, a write ran twice, or members went apart.
 */
public final class ProcessDrill extends DrillOptions {
    private static final int SHOWN = 20;

    @Option(name = "--poolers", usage = "3 to 9")
    private int poolers = 5;

    @Option(name = "--groups", usage = "db sets of three db nodes each")
    private int groups = 2;

    @Option(name = "--mix", usage = "what kinds are drawn: all, store, one-way, flapping, crossing")
    private String mix = "all";

    @Option(name = "--scenario", metaVar = "FILE", usage = "faults from a file in place of a seed")
    private Path scenario;

    @Option(name = "--timeline", metaVar = "FILE", usage = "writes what was done, as a scenario that replays it")
    private Path timeline;

    @Option(name = "--lying-disks", usage = "a double: killed poolers lose the end of what their disks said was forced")
    private boolean lying;

    @Option(
            name = "--late-lists",
            metaVar = "MS",
            usage = "a double: all that discovery writes to p1 comes so many ms late")
    private long lateLists;

    private Scenario chosen() throws java.io.IOException {
        if (scenario != null) {
            return Scenario.read(scenario.toString(), Files.readString(scenario));
        }
        try {
            Scenario.Mix drawn =
                    Scenario.Mix.valueOf(mix.toUpperCase(Locale.ROOT).replace('-', '_'));
            return Scenario.draw(drawn, poolers, groups, seconds * 1000L, seed);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "--mix " + mix + ", --poolers " + poolers + ", --groups " + groups + ": " + e.getMessage(), e);
        }
    }

    @Override
    public int run(PrintStream out) throws Exception {
        return run(out, this, chosen(), new Doubles(lying, lateLists), 0, timeline);
    }

    /**
     * What is not as it should be, to see the judge bite.
     *
     * @param lyingDisks killed poolers lose the end of what their disks said was forced
     * @param lateListsMillis so late comes what discovery writes to p1; 0 for at once
     */
    record Doubles(boolean lyingDisks, long lateListsMillis) {}

    /**
     * Runs a drill.
     *
     * @param leaderKillsMillis how long nothing but leaders are killed, in place of the scenario's steps; 0 for those
     */
    static int run(
            PrintStream out,
            DrillOptions told,
            Scenario scenario,
            Doubles doubles,
            long leaderKillsMillis,
            Path timeline)
            throws Exception {
        PrintStream log = told.log(out);
        Drill drill = new Drill(new Drill.Setting(
                scenario, told.config, told.seed, doubles.lyingDisks(), log, java.util.List.of(), 0, "off"));
        if (told.debug) {
            drill.debug();
        }
        if (doubles.lateListsMillis() > 0) {
            drill.lateLists("p1", doubles.lateListsMillis());
        }
        try {
            drill.start();
            if (leaderKillsMillis > 0) {
                drill.killLeaders(leaderKillsMillis);
            } else {
                drill.play();
            }
            DrillResult result = drill.judge(true);
            result.findings().stream().limit(SHOWN).forEach(log::println);
            if (timeline != null) {
                Files.writeString(timeline, drill.playedScenario().write());
            }
            out.println(result.json());
            return result.good() ? 0 : 1;
        } finally {
            drill.close(told.keep);
            if (told.keep) {
                out.println("kept: " + drill.folder());
            }
        }
    }
}
