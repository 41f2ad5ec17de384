package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a short soak with fixed seeds, and checks that its faults take effect and its checks find violations. */
class SoakTest {
    private static final Path CONFIG = Path.of("example/config.json");
    private static final List<Long> SEEDS = List.of(101L, 102L);
    private static final int SECONDS = 8;
    /** More clients than a pooler with that few sockets keeps connections for. */
    private static final int CLIENTS = 40;

    private static final int SOCKETS = 96;

    @TempDir
    private Path folder;

    private static Drill drill(Scenario scenario, long seed) throws Exception {
        return new Drill(
                new Drill.Setting(scenario, CONFIG, seed, false, new PrintStream(System.out), List.of(), 5, "off"));
    }

    @Test
    void noViolationIsFoundUnderTheFixedSeeds() throws Exception {
        for (long seed : SEEDS) {
            try (Drill drill = drill(Scenario.draw(Scenario.Mix.SOAK, 3, 2, SECONDS * 1000L, seed), seed)) {
                drill.variedClients(CLIENTS, SOCKETS);
                drill.start();
                drill.play();
                DrillResult result = drill.judge(true);
                assertEquals(List.of(), result.findings(), "seed " + seed + ": " + result.json());
            }
        }
    }

    /** Clock steps and failing calls are injected into a process of their own and read from what it prints. */
    @Test
    void systemFaultsReachTheProcess() throws Exception {
        Path library = SystemFaults.build(folder);
        Assumptions.assumeTrue(library != null, "no C compiler: system faults are not tested");
        SystemFaults faults = SystemFaults.of(library, folder.resolve("control"));
        faults.set(SystemFaults.Kind.CLOCK, -3_600_000_000L);
        faults.set(SystemFaults.Kind.ACCEPT, 2);
        faults.set(SystemFaults.Kind.CONNECT, 4);
        Path source = folder.resolve("Probe.java");
        Files.writeString(
                source,
                String.join(
                        "\n",
                        "public class Probe {",
                        "  public static void main(String[] args) throws Exception {",
                        "    System.out.println(\"clock \" + System.currentTimeMillis());",
                        "    try (var server = java.nio.channels.ServerSocketChannel.open().bind(new java.net.InetSocketAddress(\"127.0.0.1\", 0))) {",
                        "      for (int i = 0; i < 8; i++) {",
                        "        try (var client = java.nio.channels.SocketChannel.open(server.getLocalAddress())) {",
                        "          server.accept().close();",
                        "        } catch (java.io.IOException e) {",
                        "          System.out.println(\"failed \" + e.getMessage());",
                        "        }",
                        "      }",
                        "    }",
                        "  }",
                        "}"));
        ProcessBuilder command = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(), source.toString())
                .redirectErrorStream(true);
        command.environment().putAll(faults.environment());
        Process process = command.start();
        List<String> output = new ArrayList<>(process.inputReader().lines().toList());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        long clock = Long.parseLong(output.remove(0).substring("clock ".length()));
        assertTrue(Math.abs(System.currentTimeMillis() - 3_600_000 - clock) < 60_000, "clock " + clock);
        assertTrue(
                faults.count(SystemFaults.Kind.ACCEPT) > 0 && faults.count(SystemFaults.Kind.CONNECT) > 0,
                output.toString());
        // After ECONNABORTED the JDK itself calls accept again.
        assertEquals(
                Set.of(
                        "failed Too many open files in system",
                        "failed No buffer space available",
                        "failed Network is unreachable"),
                Set.copyOf(output));
    }

    @Test
    void aProcessThatHasNotEndedBeforeSigkillIsReported() throws Exception {
        try (Drill drill = drill(new Scenario(3, 1, List.of()), 7)) {
            drill.start();
            assertNull(drill.endBySeries("p0", 3_700));
            assertEquals("p1 had not ended when SIGKILL came after 500 ms", drill.endBySeries("p1", 500));
        }
    }
}
