package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A small fleet on contended cores, killed, ended and configured together while clients crowd it. */
class FleetDrillTest {
    private static final int POOLERS = 5, GROUPS = 1, CLIENTS = 12, SOCKETS = 40, CORES = 2;

    @Test
    void aFleetOnContendedCoresAnswersAllThatItTakes() throws Exception {
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
