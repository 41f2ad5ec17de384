package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Kills, ends and reloads a small fleet on few cores, under more clients than it has sockets for. */
class FleetDrillTest {
    private static final int POOLERS = 5;
    private static final int GROUPS = 1;
    private static final int CLIENTS = 12;
    private static final int SOCKETS = 40;
    private static final int CORES = 2;

    @Test
    void aFleetOnContendedCoresAnswersAllRequestsThatItAccepts() throws Exception {
        FleetDrill.Setting setting = new FleetDrill.Setting(
                POOLERS,
                GROUPS,
                Path.of("example/config.json"),
                77,
                CLIENTS,
                SOCKETS,
                CORES,
                new PrintStream(System.out));
        try (FleetDrill drill = new FleetDrill(setting)) {
            drill.start();
            drill.play();
            FleetResult result = drill.judge();
            assertEquals(List.of(), result.findings(), result.json());
            assertTrue(result.requests().requests() > 1_000, result.json());
        }
    }
}
